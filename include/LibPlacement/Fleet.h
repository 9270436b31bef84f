#pragma once

#include <LibPlacement/AttemptTable.h>
#include <LibPlacement/CapacityLedger.h>
#include <LibPlacement/ClaimTable.h>
#include <LibPlacement/QuotaLedger.h>
#include <LibPlacement/RackSpread.h>
#include <LibPlacement/WorkerHealth.h>
#include <LibPlacement/WorkerIndex.h>
#include <LibPlatform/VmEntry.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Placement {

/// The workers of one failure domain with what is reserved and claimed on them. Every change keeps
/// the ledgers and the search indexes in step.
class Fleet
{
public:
    /// \returns the workers that no longer get anything, whose claims are to be given up.
    std::vector<WorkerSlot> setWorkers(const std::vector<Platform::VmEntry> &entries);
    void setRules(const Rules::RuleSet &rules, int failureDomains);
    /// Quarantine and probation restrict what a worker is offered.
    void setCondition(WorkerSlot worker, WorkerCondition condition);

    /// Reserves room for a decided start; null if there is none.
    RunningAttempt *reserve(const RunningAttempt &attempt);
    /// Reserves even if it doesn't fit; null if the attempt is known already.
    RunningAttempt *adopt(const RunningAttempt &attempt);
    void rename(RunningAttempt &attempt, const Task::AttemptId &name);
    /// The attempt's eviction is decided: its room stays reserved, but its team no longer uses it.
    void markStopping(RunningAttempt &attempt);
    /// Frees the room of the attempt; nothing if there is no such attempt.
    std::optional<RunningAttempt> release(const Task::AttemptId &attempt);
    void setUsed(const RunningAttempt &attempt, const Core::Resources &used);
    void setLatencyCritical(RunningAttempt &attempt, bool isLatencyCritical);

    /// A claim counts as used by its team.
    void claim(const Claim &claim);
    std::optional<Claim> unclaim(const Core::TaskId &task);

    /// Adds the worker as unlisted, without capacity, if it isn't known.
    WorkerSlot slotOf(const Core::VmId &worker);
    std::optional<WorkerSlot> findSlot(const Core::VmId &worker) const;
    const Core::VmId &idOf(WorkerSlot worker) const { return m_workers[worker].entry.id; }
    RackIndex rackOf(WorkerSlot worker) const { return m_workers[worker].rack; }
    const std::vector<WorkerSlot> &workersOfRack(RackIndex rack) const { return m_racks[rack]; }
    const Platform::VmEntry &entry(WorkerSlot worker) const { return m_workers[worker].entry; }
    std::size_t workers() const { return m_workers.size(); }
    std::size_t listedWorkers() const { return m_listed; }
    bool isOffered(WorkerSlot worker) const;
    WorkerCondition condition(WorkerSlot worker) const { return m_workers[worker].condition; }

    /// What is physically free, whether or not it is claimed.
    Core::Resources room(WorkerSlot worker) const { return m_ledger.room(worker); }
    /// Which part of the worker's processors \p size is.
    double partOf(WorkerSlot worker, const Core::Resources &size) const;
    bool hasLatencyCritical(WorkerSlot worker) const;
    const CapacityLedger &ledger() const { return m_ledger; }
    const AttemptTable &attempts() const { return m_attempts; }
    AttemptTable &attempts() { return m_attempts; }
    const ClaimTable &claims() const { return m_claims; }
    const QuotaLedger &quotas() const { return m_quotas; }
    RackSpread &spread() { return m_spread; }
    /// What may be given out: neither reserved nor claimed nor in use beyond declared sizes.
    const WorkerIndex &freeIndex() const { return m_freeIndex; }
    /// What could be given out if all batch attempts were evicted.
    const WorkerIndex &reclaimableIndex() const { return m_reclaimableIndex; }
    /// The workers with claims whose room changed since the last call.
    std::set<WorkerSlot> takeChangedClaims() { return std::exchange(m_changedClaims, {}); }

private:
    struct Worker
    {
        Platform::VmEntry entry;
        bool isListed = false;
        WorkerCondition condition = WorkerCondition::Sound;
        RackIndex rack = 0;
        /// What batch attempts hold.
        Core::Resources batch;
    };

    void updateEntry(WorkerSlot worker, const Platform::VmEntry &entry);
    RackIndex rackNamed(const std::string &rack);
    void updateTotals();
    RunningAttempt *account(const RunningAttempt &attempt);
    void countBatch(const RunningAttempt &attempt, bool isAdded);
    void refresh(WorkerSlot worker);

    std::vector<Worker> m_workers;
    std::map<Core::VmId, WorkerSlot> m_slots;
    std::map<std::string, RackIndex> m_rackNames;
    std::vector<std::vector<WorkerSlot>> m_racks;
    std::size_t m_listed = 0;
    CapacityLedger m_ledger;
    AttemptTable m_attempts;
    ClaimTable m_claims;
    QuotaLedger m_quotas;
    RackSpread m_spread;
    WorkerIndex m_freeIndex;
    WorkerIndex m_reclaimableIndex;
    std::set<WorkerSlot> m_changedClaims;
};

} // namespace Placement
