#pragma once

#include <LibSite/LogFollower.h>
#include <LibSite/SentProgressCache.h>
#include <LibSite/SiteState.h>
#include <LibSite/SnapshotBytes.h>
#include <LibSupervision/Part.h>
#include <LibSupervision/Wakeup.h>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <utility>

namespace Site {

/// Keeps a node's job table, and its view of which node owns the jobs, in step with the store. On
/// every node, the owner included, the table reflects exactly the records before `nextOffset()`.
class JobFollower final : public Supervision::Part, private RecordSink
{
public:
    JobFollower(SiteState &state, KeyedLog &log, const boost::asio::any_io_executor &executor);

    std::string name() const override { return "jobs"; }
    boost::asio::awaitable<void> run() override;
    void requestStop() override;

    /// Reads up to the end that the log has when this is called. Concurrent calls share reads.
    /// Returns false if the read failed or didn't end by \p deadline (steady clock).
    boost::asio::awaitable<bool> refresh(Core::Instant deadline);
    /// Reads until the records tell the state of the job, or up to the end that the log has when
    /// this is called. Returns false if neither was reached by \p deadline (steady clock), if the
    /// read failed, or if the table isn't detailed and so can't show that there is no such job.
    boost::asio::awaitable<bool> awaitState(const Jobs::JobId &job, Core::Instant deadline);
    std::int64_t nextOffset() const { return m_follower.nextOffset(); }
    /// True if the table has all that a node needs which schedules the jobs, and that shows that a
    /// job doesn't exist. False at first, while the table already tells the states of the jobs.
    bool isDetailed() const { return m_isDetailed; }
    /// Makes `run()` skip its pause before the next read. The minimum interval between reads still
    /// applies, and after a failed read the retry delay.
    void wake() { m_wakeup.wake(); }
    /// Keeps a record that the owner is about to append, so that it needn't be decoded when it is
    /// read back. The job table changes only then.
    void rememberSent(const Jobs::StoredRecord &stored, Jobs::ProgressRecord record)
    {
        m_sentProgress.insert(stored, std::move(record));
    }
    void forgetSent() { m_sentProgress.clear(); }

private:
    bool mustKeepFormerCopy() const override { return m_state.tableFreshness.wasEverComplete(); }
    bool isDetail(const std::string &key) const override { return Jobs::isSchedulingDetail(key); }
    void applyDetail(const LoggedRecord &record) override;
    void beginSnapshot() override;
    void endSnapshot() override;
    void apply(const LoggedRecord &record) override;
    Jobs::JobRecord decode(const Jobs::StoredRecord &stored);
    void applyJobRecord(const LoggedRecord &logged, const Jobs::JobRecord &record);
    enum class ReadResult {
        Failed,
        /// The log has further records.
        Behind,
        AtEnd,
    };

    boost::asio::awaitable<ReadResult> readOnce(std::int64_t waitMs);
    boost::asio::awaitable<bool> readToEnd();
    /// Reads pages of details, if any are missing, until \p until (steady clock). Returns false if
    /// the read failed.
    boost::asio::awaitable<bool> readDetails(Core::Instant until);
    void onReadToEnd(Core::Instant sentAt);
    void logCaughtUp() const;
    void requestRead();
    bool isCompleteAsOf(Core::Instant instant) const;
    /// Reads until \p isEnough returns true, a read that begins from now on has ended, or the
    /// deadline has passed.
    boost::asio::awaitable<void> readUntil(std::function<bool()> isEnough, Core::Instant deadline);
    void wakeWaiters();
    boost::asio::awaitable<void> readDuringPoll();
    void onReadAnswered();
    void onReadFailed(const std::string &reason);

    SiteState &m_state;
    LogFollower m_follower;
    SentProgressCache m_sentProgress;
    boost::asio::any_io_executor m_executor;
    Supervision::Wakeup m_wakeup;
    /// Enforces the minimum interval between reads; unlike `m_wakeup` it is never woken early.
    Supervision::Wakeup m_pacingTimer;
    /// Wakeups of the pending calls of `refresh()`.
    std::set<Supervision::Wakeup *> m_waiters;
    bool m_isStopping = false;
    bool m_isInSnapshot = false;
    bool m_isDetailed = false;
    /// Of the current snapshot, or of the last one.
    SnapshotBytes m_snapshotBytes;
    /// When the first page of the current or last snapshot was applied; the epoch before.
    Core::Instant m_snapshotBeganAt = {};
    /// The owner's long poll is in flight: the store answers it once a new record is appended, or
    /// after the wait time.
    bool m_isPolling = false;
    bool m_isReadingDuringPoll = false;
    /// Start of the latest read that has ended, successfully or not.
    Core::Instant m_lastReadBeganAt = {};
    /// Number of failed reads since the last log line about them.
    int m_unloggedFailures = 0;
    Core::Instant m_nextFailureLogAt = {};
};

} // namespace Site
