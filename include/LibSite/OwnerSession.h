#pragma once

#include <LibCore/SteadyClock.h>
#include <LibJob/JobScheduler.h>
#include <LibSite/AppendBatches.h>
#include <LibSite/AppendPace.h>
#include <LibSite/BackgroundQueue.h>
#include <LibSite/GroupCommit.h>
#include <LibSite/JobFollower.h>
#include <LibSite/KeyedLog.h>
#include <LibSite/OwnerDecisionLog.h>
#include <LibSite/OwnerLoadLog.h>
#include <LibSite/SiteDecoder.h>
#include <LibSite/SiteState.h>
#include <LibSite/TurnPacer.h>
#include <LibSite/WorkerFollower.h>
#include <LibSite/WorkerGateway.h>
#include <LibSupervision/Wakeup.h>

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Site {

/// One term of ownership: connects the scheduler with the store and the workers.
///
/// Every command is sent only while the ownership is proven: the last append that succeeded was
/// sent less than `SchedulerSettings::ownershipProofTimeout` ago, measured on the suspend-aware
/// clock.
class OwnerSession final : private SiteObserver
{
public:
    OwnerSession(SiteState &state, KeyedLog &log, WorkerGateway &workers,
                 const SiteDecoder &decoder, JobFollower &follower,
                 const boost::asio::any_io_executor &executor, const Jobs::Ownership &ownership);
    ~OwnerSession() override;

    /// Returns once another node owns the jobs or a release has been attempted, and all calls that
    /// the session has begun have ended.
    boost::asio::awaitable<void> run();
    /// Stops issuing commands and makes `run()` write a record that lets any node claim the jobs.
    void release();

private:
    void onJob(const Jobs::JobEntry &entry) override;
    void onCancellation(const Jobs::JobId &id) override;
    void onClaim() override;
    void onOperatorChange() override;
    Jobs::TimePoint now() const;
    bool isOwnershipProven() const;
    /// False once a release was requested or the session has ended: later decisions are up to the
    /// next owner.
    bool isIssuingCommands() const;
    void loadState();
    /// When the next heartbeat is due, on the steady clock.
    Core::Instant heartbeatDueAt() const;
    /// When the next turn is due unless something wakes the session before, on the steady clock.
    Core::Instant nextWakeup() const;
    /// Begins a commit if the next turn may be so long that the heartbeat would be late after it.
    boost::asio::awaitable<void> sendHeartbeatBeforeTurn();
    /// Turns are paced, but a heartbeat doesn't wait for the next one.
    Core::Instant turnPauseEndsAt() const;
    /// Decides and begins everything that is due.
    void takeTurn();
    /// Sends the renewals and commands that are due if the ownership is proven.
    void spawnCommands();
    void spawnRenewals();
    void spawnPlannedCommands();
    /// Begins a commit if one is due and none is in flight.
    void spawnCommit();
    void beginCommit();
    /// Encodes the progress and remembers it as sent. If it exceeds the maximum record size, the
    /// job fails unless it is already over, and the record omits the progress of its tasks.
    Jobs::StoredRecord encodeProgress(Jobs::ProgressRecord progress);
    /// Splits the records of a commit into appends, and remembers the progress that is sent. A
    /// commit without records becomes a heartbeat.
    AppendBatches encodeCommit(std::vector<Jobs::JobRecord> records);
    boost::asio::awaitable<void> commit();
    /// Writes the commit, and behind it in the same or a further append the records of callers.
    boost::asio::awaitable<bool> writeCommit(Jobs::Commit commit);
    /// From now on other nodes' records are refused.
    void closeGroupCommit();
    /// Notes that an append has succeeded.
    void noteCommitted();
    /// Tells the scheduler that the commit is written.
    void confirm(std::int64_t commitNumber);
    /// Retries until the records are written. Returns false if the session ended before.
    boost::asio::awaitable<bool> appendUntilWritten(const std::vector<Jobs::StoredRecord> &records);
    /// Returns false if the append failed or wasn't answered.
    boost::asio::awaitable<bool> appendOnce(const std::vector<Jobs::StoredRecord> &records);
    boost::asio::awaitable<void> writeRelease();
    /// Sends a command when work of its priority has its turn. Once it has been sent, its answer
    /// waits for no ordinary work: in the meantime its time limit might pass, although the answer
    /// is there.
    template<typename Command>
    void spawnSending(Command command, Core::Instant deadline);
    /// These send a command. \p deadline is on the steady clock.
    boost::asio::awaitable<void> send(Jobs::StartCommand command, Core::Instant deadline);
    boost::asio::awaitable<void> send(Jobs::StopCommand command, Core::Instant deadline);
    boost::asio::awaitable<void> send(Jobs::ThrottleCommand command, Core::Instant deadline);
    boost::asio::awaitable<void> renew(Jobs::RenewCommand command);
    /// \p sentAt is when the renewal was sent that the report answers.
    void applyReport(const Core::VmId &worker, const Jobs::WorkerReport &report,
                     Core::Instant sentAt);
    boost::asio::awaitable<void> followWorkers();
    /// Passes the list of workers on to the scheduler.
    void applyWorkers();
    /// Ends the session if the worker has rejected a command for the token of a newer owner.
    void applyRejectedToken(const Core::VmId &worker, Jobs::FencingToken token,
                            const FencedError &error);
    void applyOtherIncarnation(const Core::VmId &worker, const std::string &address);
    /// Measures how late ordinary work runs.
    boost::asio::awaitable<void> probeOrdinaryWork();
    /// Reports to the scheduler how late the work with workers runs.
    boost::asio::awaitable<void> measureTimerLag();
    /// Runs \p work as a coroutine of its own. `run()` doesn't return before it has ended.
    void spawn(boost::asio::awaitable<void> work);
    /// Like `spawn()`, but the work gives way to all other work of the process.
    void spawnInBackground(BackgroundQueue::Priority priority, boost::asio::awaitable<void> work);
    void spawnOn(const boost::asio::any_io_executor &executor, boost::asio::awaitable<void> work);
    /// Ends the session. \p reason is for the log.
    void depose(const std::string &reason);
    /// Holds starts while the copy of the job, operator or worker records is too old though the
    /// store answers.
    void updateStartHold();

    SiteState &m_state;
    KeyedLog &m_log;
    WorkerGateway &m_workers;
    JobFollower &m_follower;
    boost::asio::any_io_executor m_executor;
    /// Runs the calls to workers: thousands of them must not delay the owner's calls to the store,
    /// nor the process's callers.
    std::shared_ptr<BackgroundQueue> m_background;
    Jobs::Ownership m_ownership;
    OwnerDecisionLog m_decisionLog;
    Jobs::JobScheduler m_scheduler;
    WorkerFollower m_workerFollower;
    Supervision::Wakeup m_wakeup;
    Supervision::Wakeup m_workersWakeup;
    /// Nothing ends these pauses early; they are short.
    Supervision::Wakeup m_turnPause;
    TurnPacer m_turnPacer;
    std::int64_t m_nextSequence = 1;
    /// When the last successful append was sent, on the suspend-aware clock.
    Core::Instant m_provenAt;
    /// When the next append is due although there is nothing to write, on the suspend-aware clock.
    Core::Instant m_nextHeartbeatAt;
    OwnerLoadLog m_loadLog;
    AppendPace m_appendPace;
    GroupCommit m_groupCommit;
    /// When the last append succeeded, on the steady clock; nothing before the first one.
    std::optional<Core::Instant> m_lastCommittedAt;
    Core::Duration m_longestCommitGap = {};
    /// When the probe of ordinary work was or is due, on the steady clock.
    Core::Instant m_ordinaryProbeDueAt = Core::steadyNow();
    /// The lesser of the last two delays of that probe; see Jobs::OverloadPolicy. It stays until
    /// the next one, which comes later the longer the ordinary work waits.
    Core::Duration m_ordinaryLag = {};
    Core::Duration m_lastOrdinaryLag = {};
    bool m_isCommitting = false;
    bool m_isOver = false;
    bool m_isReleasing = false;
    bool m_areStartsHeld = false;
    /// Coroutines of `spawn()` that haven't ended.
    std::size_t m_activeCoroutines = 0;
    /// Commands of `spawnSending()` that no coroutine sends yet.
    std::size_t m_waitingCommands = 0;
};

} // namespace Site
