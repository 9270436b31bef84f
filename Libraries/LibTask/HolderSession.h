#pragma once

#include "AppendQueue.h"
#include "LiveTask.h"
#include "PlacerInputs.h"
#include "TransferQueue.h"
#include "WorkerRegistry.h"

#include <LibPlacement/Scheduler.h>
#include <LibTask/AttemptReport.h>
#include <LibTask/PlacerAction.h>
#include <LibTask/PlacerSettings.h>
#include <LibTask/TaskTable.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Task {

/// The placer's state and decisions while this entry VM holds the lease of its failure domain. It
/// begins by adopting the tasks in the log and is destroyed when the lease is lost; the next holder
/// knows only the log and the workers' reports.
class HolderSession
{
public:
    struct Lease
    {
        std::uint64_t epoch = 0;
        Core::Instant deadline;
    };

    /// \p settings, \p table, \p inputs and \p lastRequestNumber belong to the placer and must
    /// outlive the session.
    HolderSession(const PlacerSettings &settings, const TaskTable &table,
                  const PlacerInputs &inputs, std::unique_ptr<Placement::Scheduler> scheduler,
                  Lease lease, std::uint64_t &lastRequestNumber, Core::Instant now);

    std::uint64_t epoch() const { return m_lease.epoch; }
    void extendLease(Core::Instant deadline);

    // HolderSession.cpp: records, rules and the list of workers.
    void onRecord(const TaskRecord &record, bool hasChangedTable, Core::Instant now);
    void onRulesChanged();
    void onWorkersChanged(Core::Instant now);
    void onAppendOutcome(std::uint64_t batchId, AppendOutcome outcome, Core::Instant now);

    // HolderSessionStarts.cpp
    void onStartOutcome(const AttemptId &attempt, StartOutcome outcome, Core::Instant now);

    // HolderSessionWorkers.cpp
    void onWorkerReport(const Core::VmId &worker, std::uint64_t number,
                        const std::vector<AttemptReport> &reports, Core::Instant now);
    void onWorkerUnreachable(const Core::VmId &worker, std::uint64_t number, Core::Instant now);

    // HolderSessionTransfers.cpp
    void onPeersChanged();
    void onTransferOutcome(const Core::TaskId &task, std::uint32_t transferNumber,
                           AppendOutcome outcome, Core::Instant now);

    std::vector<PlacerAction> poll(Core::Instant now);
    std::optional<Core::Instant> nextWakeUp(Core::Instant now) const;

    const LiveTask *find(const Core::TaskId &task) const;
    std::string explain(const Core::TaskId &task) const;
    Core::Resources spareResources() const;

private:
    // HolderSession.cpp
    /// Takes over a task from the log. An open attempt of it may be running.
    void adopt(const TaskEntry &entry, Core::Instant submittedAt, Core::Instant now);
    void addTask(const TaskEntry &entry, Core::Instant submittedAt);
    void refuseTasksThatNeverFit();
    /// Refuses or holds a waiting task that is too large for every listed worker.
    void refuseIfNeverFits(LiveTask &task);
    void cancel(LiveTask &task, Core::Instant now);
    void onRecordsAppended(const std::vector<TaskRecord> &records);
    /// Queues a record for the next batch.
    void push(TaskRecordBody body);
    /// Queues the record that ends or transfers \p task; no further attempt of it is planned.
    void appendFinalRecord(LiveTask &task, TaskRecordBody body);
    /// Resets the state of the last attempt and makes \p task wait for the next one.
    void setWaiting(LiveTask &task);
    /// Gives a waiting task to the scheduler, or marks it to be moved if it must leave the failure
    /// domain.
    void updateWaiting(LiveTask &task);
    void removeFromScheduler(LiveTask &task);
    bool isLeaseValid(Core::Instant now) const;
    /// The send deadline of a command that is decided at \p now.
    Core::Instant sendDeadlineFrom(Core::Instant now) const;
    void writeSnapshot(Core::Instant now);

    // HolderSessionStarts.cpp
    void updateSchedulerWorkers();
    /// True if attempts may be started on the worker; false for a null \p status.
    bool acceptsStarts(const WorkerStatus *status) const;
    bool areStartsAllowed() const;
    void applyDecisions(std::vector<PlacerAction> &actions, Core::Instant now);
    void plan(const Placement::StartDecision &decision, Core::Instant now);
    void evict(const Placement::EvictDecision &decision, Core::Instant now);
    void throttle(const Placement::ThrottleDecision &decision, std::vector<PlacerAction> &actions,
                  Core::Instant now);
    void hold(const Placement::HoldDecision &decision);
    void startRecorded(std::vector<PlacerAction> &actions, Core::Instant now);
    /// Why the planned attempt must not be started now; empty if it may be.
    std::string reasonNotToStart(const LiveTask &task, Core::Instant now) const;
    StartAttempt start(LiveTask &task, Core::Instant now);
    /// Gives up an open attempt that isn't running and never will be; the task waits again.
    void abandon(LiveTask &task, const std::string &reason, Core::Instant now);

    // HolderSessionWorkers.cpp
    void renewWorkers(std::vector<PlacerAction> &actions, Core::Instant now);
    RenewWorker renewal(WorkerStatus &status, Core::Instant now);
    /// The lease deadline that may be granted to the attempt at \p now; empty if its lease must not
    /// be granted or renewed.
    std::optional<Core::Instant> leaseDeadlineFor(const LiveTask &task, Core::Instant now) const;
    /// Raises `latestLeaseExpiry` to at least \p leaseDeadline plus the allowances for delivery and
    /// clock drift.
    void extendLatestExpiry(LiveTask &task, Core::Instant leaseDeadline) const;
    void onAttemptReport(WorkerStatus &status, const AttemptReport &report, Core::Instant now);
    void onUnrecordedAttemptReport(WorkerStatus &status, const AttemptReport &report,
                                   Core::Instant now);
    /// Ends the attempts that are missing from a worker's report, if that shows that they have
    /// ended.
    void endUnreportedAttempts(WorkerStatus &status, const std::set<AttemptId> &reported,
                               Core::Instant now);
    /// Ends the attempts whose leases must have expired.
    void endExpiredAttempts(WorkerStatus &status, Core::Instant now);
    /// Ends the open attempt, of which the worker has reported the end or confirmed the stop.
    void confirmEnd(LiveTask &task, AttemptPhase phase, const std::string &detail,
                    Core::Instant now);
    /// Ends the open attempt, of which the worker has reported nothing.
    void confirmLoss(LiveTask &task, const std::string &detail, Core::Instant now);
    /// Records the end of the open attempt and decides what happens to the task next.
    void recordEnd(LiveTask &task, const AttemptEnded &ended, Core::Instant now);
    void requestStop(LiveTask &task, Platform::StopMode mode, const std::string &reason,
                     Core::Instant now);
    void sendStops(std::vector<PlacerAction> &actions, Core::Instant now);

    // HolderSessionTransfers.cpp
    /// True if the rules don't let the task run in this failure domain.
    bool mustLeaveDomain(const LiveTask &task) const;
    /// Transfers waiting tasks that must leave, and requests stops of running ones.
    void moveTasksOut(Core::Instant now);
    bool isLatencyCritical(const TaskSpec &spec) const;
    std::optional<Core::FailureDomainId> chooseTargetDomain(const TaskSpec &spec);
    void transferOut(LiveTask &task, const Core::FailureDomainId &domain);
    void appendTransfers(std::vector<PlacerAction> &actions, Core::Instant now);

    /// The task whose open attempt is \p attempt; null if there is none.
    LiveTask *findByOpenAttempt(const AttemptId &attempt);

    const PlacerSettings &m_settings;
    const TaskTable &m_table;
    const PlacerInputs &m_inputs;
    std::unique_ptr<Placement::Scheduler> m_scheduler;
    Lease m_lease;
    std::uint64_t &m_lastRequestNumber;
    Core::Instant m_adoptedAt;

    AppendQueue m_appendQueue;
    WorkerRegistry m_workers;
    TransferQueue m_transfers;
    std::map<Core::TaskId, LiveTask> m_tasks;
    /// Tasks in the stage Recorded, in the order of their decisions.
    std::deque<Core::TaskId> m_recorded;
    /// Tasks with a stop request.
    std::set<Core::TaskId> m_stopping;
    /// Ended attempts whose AttemptEnded record isn't known to be appended, with the workers to
    /// which the end is acknowledged afterwards.
    std::map<AttemptId, Core::VmId> m_unacknowledged;
    /// Stops to send for attempts that have no record.
    std::vector<StopAttempt> m_unrecordedAttemptStops;
    bool m_areSchedulerWorkersOutdated = true;
    std::optional<Core::Instant> m_snapshotWrittenAt;

    /// Tasks that must leave this failure domain, in the order in which they are transferred.
    std::deque<Core::TaskId> m_tasksToMove;
    /// The other failure domains. Their `free` is reduced by the demand of the tasks for which they
    /// were chosen since their last report.
    std::vector<PeerDomain> m_peers;
    /// The tokens in the bucket that limits the rate of transfers; each transfer takes one.
    double m_transferTokens = 1;
    Core::Instant m_tokensUpdatedAt;
    /// The next time to look for target domains, after no other failure domain could take a task.
    Core::Instant m_nextMoveAt;
};

} // namespace Task
