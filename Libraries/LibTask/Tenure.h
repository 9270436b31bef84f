#pragma once

#include "AppendQueue.h"
#include "PlacerInputs.h"
#include "TenureTask.h"
#include "TransferDesk.h"
#include "WorkerBook.h"

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

/// The time in which this entry VM holds the lease of its failure domain, from adoption to the loss
/// of the lease. Nothing of it outlives the loss: the next holder knows only the log and what the
/// workers say.
class Tenure
{
public:
    struct Lease
    {
        std::uint64_t epoch = 0;
        Core::Instant deadline;
    };

    /// \p table and \p inputs belong to the placer and outlive the tenure.
    Tenure(const PlacerSettings &settings, const TaskTable &table, const PlacerInputs &inputs,
           std::unique_ptr<Placement::Scheduler> scheduler, Lease lease, std::uint64_t &lastNumber,
           Core::Instant now);

    std::uint64_t epoch() const { return m_lease.epoch; }
    void extendLease(Core::Instant deadline);

    // Tenure.cpp: what the log and the operators say.
    void onRecord(const TaskRecord &record, bool hasChangedTable, Core::Instant now);
    void onRulesChanged();
    void onWorkersChanged(Core::Instant now);
    void onAppendOutcome(std::uint64_t batchId, AppendOutcome outcome, Core::Instant now);

    // TenureStarts.cpp
    void onStartOutcome(const AttemptId &attempt, StartOutcome outcome, Core::Instant now);

    // TenureWorkers.cpp
    void onWorkerReport(const Core::VmId &worker, std::uint64_t number,
                        const std::vector<AttemptReport> &reports, Core::Instant now);
    void onWorkerUnreachable(const Core::VmId &worker, std::uint64_t number, Core::Instant now);

    // TenureTransfers.cpp
    void onPeersChanged();
    void onTransferOutcome(const Core::TaskId &task, std::uint32_t transferNumber,
                           AppendOutcome outcome, Core::Instant now);

    std::vector<PlacerAction> poll(Core::Instant now);
    std::optional<Core::Instant> nextWakeUp(Core::Instant now) const;

    const TenureTask *find(const Core::TaskId &task) const;
    std::string explain(const Core::TaskId &task) const;
    Core::Resources freeForPeers() const;

private:
    // Tenure.cpp
    void adopt(const TaskEntry &entry, Core::Instant submittedAt, Core::Instant now);
    void admit(const TaskEntry &entry, Core::Instant submittedAt);
    void refuseWhatNeverFits();
    void refuseIfNeverFits(TenureTask &task);
    void cancel(TenureTask &task, Core::Instant now);
    void onLanded(const std::vector<TaskRecord> &records);
    void push(TaskRecordBody body);
    void close(TenureTask &task, TaskRecordBody body);
    void setWaiting(TenureTask &task);
    void updateWaiting(TenureTask &task);
    void removeFromScheduler(TenureTask &task);
    bool isLeaseValid(Core::Instant now) const;
    Core::Instant sendBefore(Core::Instant now) const;
    void writeSnapshot(Core::Instant now);

    // TenureStarts.cpp
    void updateSchedulerWorkers();
    bool isStartable(const WorkerLine *line) const;
    bool areStartsAllowed() const;
    void decide(std::vector<PlacerAction> &actions, Core::Instant now);
    void plan(const Placement::StartDecision &decision, Core::Instant now);
    void evict(const Placement::EvictDecision &decision, Core::Instant now);
    void throttle(const Placement::ThrottleDecision &decision, std::vector<PlacerAction> &actions,
                  Core::Instant now);
    void hold(const Placement::HoldDecision &decision);
    void startRecorded(std::vector<PlacerAction> &actions, Core::Instant now);
    std::string reasonNotToStart(const TenureTask &task, Core::Instant now) const;
    StartAttempt start(TenureTask &task, Core::Instant now);
    void abandon(TenureTask &task, const std::string &reason, Core::Instant now);

    // TenureWorkers.cpp
    void renewWorkers(std::vector<PlacerAction> &actions, Core::Instant now);
    RenewWorker renewal(WorkerLine &line, Core::Instant now);
    std::optional<Core::Instant> grantFor(const TenureTask &task, Core::Instant now) const;
    void extendLapse(TenureTask &task, Core::Instant leaseDeadline) const;
    void observe(WorkerLine &line, const AttemptReport &report, Core::Instant now);
    void observeUnknown(WorkerLine &line, const AttemptReport &report, Core::Instant now);
    void proveSilentAttempts(WorkerLine &line, const std::set<AttemptId> &reported,
                             Core::Instant now);
    void proveLapsedAttempts(WorkerLine &line, Core::Instant now);
    void proveEnd(TenureTask &task, AttemptPhase phase, const std::string &detail,
                  Core::Instant now);
    void orderStop(TenureTask &task, Platform::StopMode mode, const std::string &reason,
                   Core::Instant now);
    void commandStops(std::vector<PlacerAction> &actions, Core::Instant now);

    // TenureTransfers.cpp
    bool isMisplaced(const TenureTask &task) const;
    void moveMisplaced(Core::Instant now);
    bool isLatencyCritical(const TaskSpec &spec) const;
    std::optional<Core::FailureDomainId> chooseDomain(const TaskSpec &spec);
    void transferOut(TenureTask &task, const Core::FailureDomainId &domain);
    void appendTransfers(std::vector<PlacerAction> &actions, Core::Instant now);

    TenureTask *taskOfOpenAttempt(const AttemptId &attempt);

    const PlacerSettings &m_settings;
    const TaskTable &m_table;
    const PlacerInputs &m_inputs;
    std::unique_ptr<Placement::Scheduler> m_scheduler;
    Lease m_lease;
    std::uint64_t &m_lastNumber;
    Core::Instant m_adoptedAt;

    AppendQueue m_appends;
    WorkerBook m_workers;
    TransferDesk m_transfers;
    std::map<Core::TaskId, TenureTask> m_tasks;
    /// Tasks in the stage Recorded, in the order of their decisions.
    std::deque<Core::TaskId> m_recorded;
    std::set<Core::TaskId> m_stopping;
    /// Which worker each ended attempt is to be acknowledged to, once its record has landed.
    std::map<AttemptId, Core::VmId> m_unacknowledged;
    /// Stops of attempts that no record accounts for.
    std::vector<StopAttempt> m_unknownStops;
    bool m_areSchedulerWorkersOutdated = true;
    std::optional<Core::Instant> m_snapshotWrittenAt;

    /// Tasks that must leave this failure domain, in the order in which they go.
    std::deque<Core::TaskId> m_misplaced;
    std::vector<PeerDomain> m_peers;
    double m_transferTokens = 1;
    Core::Instant m_tokensAt;
    /// No other failure domain could take any of them; not looked at again before.
    Core::Instant m_moveAgainAt;
};

} // namespace Task
