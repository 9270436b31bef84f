#pragma once

#include <LibPlacement/AttemptTable.h>
#include <LibPlacement/CapacityLedger.h>
#include <LibPlacement/CapacityTree.h>
#include <LibPlacement/ClaimTable.h>
#include <LibPlacement/QuotaLedger.h>
#include <LibPlacement/RackSpread.h>
#include <LibPlacement/WorkerHealth.h>
#include <LibPlatform/VmEntry.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Placement {

/// The workers of one failure domain with the reservations and claims on them. Every change keeps
/// the ledgers and the capacity trees consistent.
class Fleet
{
public:
    /// Replaces the list of workers; entries of other VM kinds are ignored.
    /// \returns the workers that stopped being schedulable; the caller must release their claims.
    std::vector<WorkerSlot> setWorkers(const std::vector<Platform::VmEntry> &entries);
    /// The teams' quotas are split evenly between \p failureDomains.
    void setRules(const Rules::RuleSet &rules, int failureDomains);
    /// Quarantine and probation restrict what may be placed on the worker.
    void setCondition(WorkerSlot worker, WorkerCondition condition);

    /// Reserves capacity for a start decision; null if the worker hasn't enough available or the
    /// attempt already has a reservation.
    RunningAttempt *reserve(const RunningAttempt &attempt);
    /// Reserves capacity even if it exceeds what is available; null if the attempt already has a
    /// reservation.
    RunningAttempt *adopt(const RunningAttempt &attempt);
    /// Gives the attempt and its reservation the unused id \p newId.
    void changeId(RunningAttempt &attempt, const Task::AttemptId &newId);
    /// Marks the attempt as being evicted: its capacity stays reserved, but no longer counts as
    /// used by its team.
    void markStopping(RunningAttempt &attempt);
    /// Frees the capacity of the attempt and returns the attempt; nothing if it is unknown.
    std::optional<RunningAttempt> release(const Task::AttemptId &attempt);
    void setUsed(const RunningAttempt &attempt, const Core::Resources &used);
    void setLatencyCritical(RunningAttempt &attempt, bool isLatencyCritical);

    /// Adds a claim, which counts as used by the task's team.
    void claim(const Claim &claim);
    /// Returns the released claim; nothing if the task has none.
    std::optional<Claim> releaseClaim(const Core::TaskId &task);

    /// An unknown worker is added as unlisted and without capacity.
    WorkerSlot findOrAddSlot(const Core::VmId &worker);
    std::optional<WorkerSlot> findSlot(const Core::VmId &worker) const;
    const Core::VmId &idOf(WorkerSlot worker) const { return m_workers[worker].entry.id; }
    RackIndex rackOf(WorkerSlot worker) const { return m_workers[worker].rack; }
    const std::vector<WorkerSlot> &workersOfRack(RackIndex rack) const { return m_racks[rack]; }
    const Platform::VmEntry &entry(WorkerSlot worker) const { return m_workers[worker].entry; }
    std::size_t workers() const { return m_workers.size(); }
    std::size_t listedWorkers() const { return m_listed; }
    /// True if the worker is listed, live and not quarantined.
    bool isSchedulable(WorkerSlot worker) const;
    WorkerCondition condition(WorkerSlot worker) const { return m_workers[worker].condition; }

    /// The capacity that isn't reserved or in use, whether or not it is claimed.
    Core::Resources available(WorkerSlot worker) const { return m_ledger.available(worker); }
    /// The CPU of \p size as a fraction of the worker's CPU; 0 if the worker has none.
    double cpuFractionOf(WorkerSlot worker, const Core::Resources &size) const;
    bool hasLatencyCritical(WorkerSlot worker) const;
    const CapacityLedger &ledger() const { return m_ledger; }
    const AttemptTable &attempts() const { return m_attempts; }
    AttemptTable &attempts() { return m_attempts; }
    const ClaimTable &claims() const { return m_claims; }
    const QuotaLedger &quotas() const { return m_quotas; }
    RackSpread &spread() { return m_spread; }
    /// Per worker the capacity that new attempts may take: neither reserved, nor claimed, nor in
    /// use beyond declared sizes. Nothing is available on a worker that isn't schedulable or that
    /// is on probation and already has an attempt.
    const CapacityTree &unclaimedCapacity() const { return m_unclaimedCapacity; }
    /// Per worker the unclaimed capacity that would be free if all batch attempts were evicted.
    /// Nothing is available on a worker that isn't schedulable or is on probation.
    const CapacityTree &reclaimableCapacity() const { return m_reclaimableCapacity; }
    /// The workers with claims whose claims or available capacity may have changed since the last
    /// call.
    std::set<WorkerSlot> takeWorkersWithClaimsToCheck()
    {
        return std::exchange(m_workersWithClaimsToCheck, {});
    }

private:
    struct Worker
    {
        Platform::VmEntry entry;
        bool isListed = false;
        WorkerCondition condition = WorkerCondition::Healthy;
        RackIndex rack = 0;
        /// The total declared size of the batch attempts on the worker.
        Core::Resources batch;
    };

    void updateEntry(WorkerSlot worker, const Platform::VmEntry &entry);
    RackIndex findOrAddRack(const std::string &rack);
    void updateTotals();
    RunningAttempt *recordAttempt(const RunningAttempt &attempt);
    void countBatch(const RunningAttempt &attempt, bool isAdded);
    void updateAvailability(WorkerSlot worker);

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
    CapacityTree m_unclaimedCapacity;
    CapacityTree m_reclaimableCapacity;
    std::set<WorkerSlot> m_workersWithClaimsToCheck;
};

} // namespace Placement
