#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <LibPlatform/VmEntry.h>
#include <LibRules/RuleSet.h>
#include <LibTask/AttemptReport.h>
#include <LibTask/PeerDomain.h>
#include <LibTask/PlacerAction.h>
#include <LibTask/PlacerSettings.h>
#include <LibTask/SchedulerFactory.h>
#include <LibTask/Snapshot.h>
#include <LibTask/TaskRecord.h>
#include <LibTask/TaskTable.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Task {

class SnapshotTracker;
class HolderSession;
struct PlacerInputs;

/// Places and supervises the tasks of one failure domain. Every entry VM of the domain runs one and
/// feeds it the domain's stream, so that each of them can answer look-ups. Only the instance on the
/// VM that holds the placer's lease returns actions.
///
/// This is a deterministic state machine: all times are arguments and must not decrease.
class DomainPlacer
{
public:
    /// \p schedulers must outlive the placer.
    DomainPlacer(const SchedulerFactory &schedulers, PlacerSettings settings);
    DomainPlacer(const DomainPlacer &) = delete;
    DomainPlacer &operator=(const DomainPlacer &) = delete;
    ~DomainPlacer();

    /// Starts from a snapshot instead of the stream's first record. Call this only before
    /// `becomeHolder`.
    void restore(const Snapshot &snapshot);
    /// Handles the winning lease claim at \p offset of the stream, which began \p epoch. Call this
    /// for every winning claim; these calls and those of `onRecord` must be in the order of the
    /// offsets.
    void onLeaseClaim(std::uint64_t offset, std::uint64_t epoch);
    /// Handles the record at \p offset of the stream. Records below `table().nextOffset()` are
    /// ignored.
    void onRecord(std::uint64_t offset, const TaskRecord &record, Core::Instant now);
    /// Call this after a read that was sent at \p readSentAt has reached the end of the stream and
    /// all its records were passed to `onRecord`. \p firstRetained is the oldest offset that the
    /// log still retains, \p end the offset after the last record.
    void onLogEndReached(std::uint64_t firstRetained, std::uint64_t end, Core::Instant readSentAt);

    /// Makes this entry VM the placer of its failure domain. Call this only after the VM's own
    /// lease claim and all records below the claim were fed in, and after the leases of all earlier
    /// holders have expired.
    /// \throws Core::Error if \p epoch isn't the newest epoch that was read.
    void becomeHolder(std::uint64_t epoch, Core::Instant leaseDeadline, Core::Instant now);
    /// Extends the lease, which must not have expired in between.
    void extendLease(Core::Instant leaseDeadline);
    /// Call this when the lease has expired or a newer epoch than the holder's was read.
    void loseLease();
    bool isHolder() const { return m_session != nullptr; }

    /// Replaces the rules. Ignored if \p version is lower than that of the current rules.
    void setRules(const Rules::RuleSet &rules, std::uint64_t version);
    /// No attempt is started while the rules aren't fresh.
    void setRulesFresh(bool isFresh);
    /// Replaces the list of workers. \p workers may be the platform's whole list of VMs; entries of
    /// other kinds and other failure domains are skipped.
    void setWorkers(const std::vector<Platform::VmEntry> &workers, Core::Instant now);
    /// Replaces the list of the other failure domains and their spare resources.
    void setPeerDomains(const std::vector<PeerDomain> &peers);

    /// Handles the answer to the RenewWorker action with \p number.
    void onWorkerReport(const Core::VmId &worker, std::uint64_t number,
                        const std::vector<AttemptReport> &reports, Core::Instant now);
    /// The RenewWorker action with \p number got no answer; the leases may have been renewed.
    void onWorkerUnreachable(const Core::VmId &worker, std::uint64_t number, Core::Instant now);
    /// Handles the outcome of the StartAttempt action for \p attempt with \p epoch.
    void onStartOutcome(const AttemptId &attempt, std::uint64_t epoch, StartOutcome outcome,
                        Core::Instant now);
    /// Handles the outcome of the AppendRecords action with \p batchId.
    void onAppendOutcome(std::uint64_t batchId, AppendOutcome outcome, Core::Instant now);
    /// Handles the outcome of the AppendTransfer action for \p task with \p transferNumber.
    void onTransferOutcome(const Core::TaskId &task, std::uint32_t transferNumber,
                           AppendOutcome outcome, Core::Instant now);

    /// Returns the actions to perform now. Call this after every input and at `nextWakeUp`.
    std::vector<PlacerAction> poll(Core::Instant now);
    /// The time at which to call `poll` if there is no input before; may lie in the past. Empty if
    /// `poll` has nothing to do without further input.
    std::optional<Core::Instant> nextWakeUp(Core::Instant now) const;

    const TaskTable &table() const { return m_table; }
    /// The state of a task; empty if the task is unknown. Only the lease holder can tell Running
    /// from Planned.
    std::optional<TaskState> state(const Core::TaskId &task) const;
    /// A human-readable text that says where the task is and why.
    std::string explain(const Core::TaskId &task) const;
    /// The free resources of the workers that accept starts minus the demand of the waiting tasks,
    /// never below zero. The other failure domains receive this as `PeerDomain::free`. Zero if this
    /// entry VM isn't the lease holder or the failure domain is taken out of service.
    Core::Resources spareResources() const;

private:
    PlacerSettings m_settings;
    const SchedulerFactory &m_schedulers;
    TaskTable m_table;
    std::unique_ptr<SnapshotTracker> m_snapshots;
    std::unique_ptr<PlacerInputs> m_inputs;
    bool m_hasReachedLogEnd = false;
    std::unique_ptr<HolderSession> m_session;
    /// The newest number given to an append or to a renewal; both use the same sequence.
    std::uint64_t m_lastRequestNumber = 0;
};

} // namespace Task
