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
class Tenure;
struct PlacerInputs;

/// Runs the tasks of one failure domain. Every entry VM of the domain feeds it the domain's stream,
/// so that look-ups work everywhere; only the holder of the placer's lease gets actions from it.
/// A deterministic state machine: all times are arguments and must not decrease.
class DomainPlacer
{
public:
    /// \p schedulers must outlive the placer.
    DomainPlacer(const SchedulerFactory &schedulers, PlacerSettings settings);
    DomainPlacer(const DomainPlacer &) = delete;
    DomainPlacer &operator=(const DomainPlacer &) = delete;
    ~DomainPlacer();

    /// Begins at a snapshot instead of the stream's first record. Only before `becomeHolder`.
    void restore(const Snapshot &snapshot);
    /// A lease claim won at \p offset of the stream. Call it for every winning claim, in the order
    /// of offsets together with `onRecord`.
    void onEpoch(std::uint64_t offset, std::uint64_t epoch);
    /// A record of the stream. Records below `table().nextOffset()` are ignored.
    void onRecord(std::uint64_t offset, const TaskRecord &record, Core::Instant now);
    /// A read that was sent at \p readSentAt has reached the end of the stream, and all its records
    /// were fed in.
    void onLogPosition(std::uint64_t firstRetained, std::uint64_t end, Core::Instant readSentAt);

    /// This entry VM holds the lease. Call it only after `onEpoch` with the own claim and after the
    /// records below it; no earlier holder's lease may be valid any more.
    /// \throws Core::Error if \p epoch isn't the newest that was read.
    void becomeHolder(std::uint64_t epoch, Core::Instant leaseDeadline, Core::Instant now);
    /// The lease was renewed without a break.
    void extendLease(Core::Instant leaseDeadline);
    /// The lease has ended, or an epoch above the own one was read.
    void loseLease();
    bool isHolder() const { return m_tenure != nullptr; }

    void setRules(const Rules::RuleSet &rules, std::uint64_t version);
    /// While the rules aren't fresh nothing starts.
    void setRulesFresh(bool isFresh);
    /// The whole list of VMs; entries of other kinds and other failure domains are skipped.
    void setWorkers(const std::vector<Platform::VmEntry> &workers, Core::Instant now);
    /// What the other failure domains can take; replaces the earlier word.
    void setPeerDomains(const std::vector<PeerDomain> &peers);

    /// The answer to the RenewWorker action with \p number.
    void onWorkerReport(const Core::VmId &worker, std::uint64_t number,
                        const std::vector<AttemptReport> &reports, Core::Instant now);
    /// The RenewWorker action with \p number got no answer; it may have taken effect.
    void onWorkerUnreachable(const Core::VmId &worker, std::uint64_t number, Core::Instant now);
    /// \p epoch is that of the StartAttempt action.
    void onStartOutcome(const AttemptId &attempt, std::uint64_t epoch, StartOutcome outcome,
                        Core::Instant now);
    void onAppendOutcome(std::uint64_t batchId, AppendOutcome outcome, Core::Instant now);
    void onTransferOutcome(const Core::TaskId &task, std::uint32_t transferNumber,
                           AppendOutcome outcome, Core::Instant now);

    /// What to do now. Call it after every input and at `nextWakeUp`.
    std::vector<PlacerAction> poll(Core::Instant now);
    /// When `poll` has something to do without further input; empty if never. May be past.
    std::optional<Core::Instant> nextWakeUp(Core::Instant now) const;

    const TaskTable &table() const { return m_table; }
    /// The state of a task; the holder also knows which planned attempts run. Empty if unknown.
    std::optional<TaskState> state(const Core::TaskId &task) const;
    /// Where the task is and why, for people.
    std::string explain(const Core::TaskId &task) const;
    /// What the live workers have free, less what waits, for `PeerDomain::free` elsewhere. Zero if
    /// this entry VM isn't the holder or the failure domain is out.
    Core::Resources freeForPeers() const;

private:
    PlacerSettings m_settings;
    const SchedulerFactory &m_schedulers;
    TaskTable m_table;
    std::unique_ptr<SnapshotTracker> m_snapshots;
    std::unique_ptr<PlacerInputs> m_inputs;
    bool m_hasReachedEnd = false;
    std::unique_ptr<Tenure> m_tenure;
    /// The newest number of an append or a renewal.
    std::uint64_t m_lastNumber = 0;
};

} // namespace Task
