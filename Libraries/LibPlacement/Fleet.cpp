#include <LibPlacement/Fleet.h>

#include <utility>

namespace Placement {

std::vector<WorkerSlot> Fleet::setWorkers(const std::vector<Platform::VmEntry> &entries)
{
    std::vector<bool> wasSchedulable(m_workers.size());
    for (WorkerSlot worker = 0; worker < wasSchedulable.size(); ++worker) {
        wasSchedulable[worker] = isSchedulable(worker);
        m_workers[worker].isListed = false;
    }
    for (const Platform::VmEntry &entry : entries) {
        if (entry.kind == Platform::VmKind::Worker)
            updateEntry(findOrAddSlot(entry.id), entry);
    }
    updateTotals();
    std::vector<WorkerSlot> unschedulable;
    for (WorkerSlot worker = 0; worker < m_workers.size(); ++worker) {
        updateAvailability(worker);
        if (worker < wasSchedulable.size() && wasSchedulable[worker] && !isSchedulable(worker))
            unschedulable.push_back(worker);
    }
    return unschedulable;
}

void Fleet::setRules(const Rules::RuleSet &rules, int failureDomains)
{
    m_quotas.setRules(rules, failureDomains);
}

void Fleet::setCondition(WorkerSlot worker, WorkerCondition condition)
{
    m_workers[worker].condition = condition;
    updateAvailability(worker);
}

RunningAttempt *Fleet::reserve(const RunningAttempt &attempt)
{
    if (!m_ledger.reserve(attempt.attempt, attempt.worker, attempt.spec.declared))
        return nullptr;
    return recordAttempt(attempt);
}

RunningAttempt *Fleet::adopt(const RunningAttempt &attempt)
{
    if (!m_ledger.adopt(attempt.attempt, attempt.worker, attempt.spec.declared))
        return nullptr;
    return recordAttempt(attempt);
}

void Fleet::changeId(RunningAttempt &attempt, const Task::AttemptId &newId)
{
    m_ledger.changeId(attempt.attempt, newId);
    m_attempts.changeId(attempt, newId);
}

void Fleet::markStopping(RunningAttempt &attempt)
{
    if (!std::exchange(attempt.isStopping, true))
        m_quotas.remove(attempt.spec.team, attempt.kind(), attempt.spec.declared);
}

std::optional<RunningAttempt> Fleet::release(const Task::AttemptId &attempt)
{
    const RunningAttempt *found = m_attempts.find(attempt);
    if (!found)
        return std::nullopt;
    RunningAttempt released = *found;
    m_attempts.remove(attempt);
    m_ledger.release(attempt);
    if (!released.isStopping)
        m_quotas.remove(released.spec.team, released.kind(), released.spec.declared);
    if (released.isLatencyCritical)
        m_spread.remove(released.classIndex, rackOf(released.worker));
    countBatch(released, false);
    updateAvailability(released.worker);
    return released;
}

void Fleet::setUsed(const RunningAttempt &attempt, const Core::Resources &used)
{
    const Reservation *reservation = m_ledger.find(attempt.attempt);
    if (!reservation || reservation->used == used)
        return;
    m_ledger.setUsed(attempt.attempt, used);
    updateAvailability(attempt.worker);
}

void Fleet::setLatencyCritical(RunningAttempt &attempt, bool isLatencyCritical)
{
    if (attempt.isLatencyCritical == isLatencyCritical)
        return;
    countBatch(attempt, false);
    if (!attempt.isStopping)
        m_quotas.remove(attempt.spec.team, attempt.kind(), attempt.spec.declared);
    attempt.isLatencyCritical = isLatencyCritical;
    if (!attempt.isStopping)
        m_quotas.add(attempt.spec.team, attempt.kind(), attempt.spec.declared);
    countBatch(attempt, true);
    if (isLatencyCritical)
        m_spread.add(attempt.classIndex, rackOf(attempt.worker));
    else
        m_spread.remove(attempt.classIndex, rackOf(attempt.worker));
    updateAvailability(attempt.worker);
}

void Fleet::claim(const Claim &claim)
{
    m_claims.add(claim);
    m_quotas.add(claim.task.spec.team, claim.taskKind, claim.task.spec.declared);
    updateAvailability(claim.worker);
}

std::optional<Claim> Fleet::releaseClaim(const Core::TaskId &task)
{
    std::optional<Claim> claim = m_claims.remove(task);
    if (!claim)
        return claim;
    m_quotas.remove(claim->task.spec.team, claim->taskKind, claim->task.spec.declared);
    updateAvailability(claim->worker);
    return claim;
}

WorkerSlot Fleet::findOrAddSlot(const Core::VmId &worker)
{
    const auto [position, isNew] = m_slots.try_emplace(worker, m_workers.size());
    if (!isNew)
        return position->second;
    const WorkerSlot slot = position->second;
    m_workers.emplace_back();
    m_workers[slot].entry.id = worker;
    m_workers[slot].rack = findOrAddRack({});
    m_racks[m_workers[slot].rack].push_back(slot);
    m_ledger.setCapacity(slot, {});
    updateAvailability(slot);
    return slot;
}

std::optional<WorkerSlot> Fleet::findSlot(const Core::VmId &worker) const
{
    const auto found = m_slots.find(worker);
    if (found == m_slots.end())
        return std::nullopt;
    return found->second;
}

bool Fleet::isSchedulable(WorkerSlot worker) const
{
    const Worker &state = m_workers[worker];
    return state.isListed && state.entry.state == Platform::VmState::Live
        && state.condition != WorkerCondition::Quarantined;
}

double Fleet::cpuFractionOf(WorkerSlot worker, const Core::Resources &size) const
{
    const std::int64_t capacity = m_workers[worker].entry.capacity.milliCores;
    if (capacity <= 0)
        return 0.0;
    return static_cast<double>(size.milliCores) / static_cast<double>(capacity);
}

bool Fleet::hasLatencyCritical(WorkerSlot worker) const
{
    return m_ledger.reserved(worker) != m_workers[worker].batch;
}

void Fleet::updateEntry(WorkerSlot worker, const Platform::VmEntry &entry)
{
    Worker &state = m_workers[worker];
    state.isListed = true;
    if (state.entry == entry)
        return;
    const RackIndex rack = findOrAddRack(entry.rack);
    if (rack != state.rack) {
        std::erase(m_racks[state.rack], worker);
        m_racks[rack].push_back(worker);
        for (const RunningAttempt *attempt : m_attempts.onWorker(worker)) {
            if (!attempt->isLatencyCritical)
                continue;
            m_spread.remove(attempt->classIndex, state.rack);
            m_spread.add(attempt->classIndex, rack);
        }
        state.rack = rack;
    }
    state.entry = entry;
    m_ledger.setCapacity(worker, entry.capacity);
}

RackIndex Fleet::findOrAddRack(const std::string &rack)
{
    const auto [position, isNew] = m_rackNames.try_emplace(rack, m_racks.size());
    if (isNew) {
        m_racks.emplace_back();
        m_spread.addRack(position->second);
    }
    return position->second;
}

void Fleet::updateTotals()
{
    Core::Resources total;
    m_listed = 0;
    for (const Worker &worker : m_workers) {
        if (!worker.isListed)
            continue;
        ++m_listed;
        total = total + worker.entry.capacity;
    }
    m_quotas.setCapacity(total);
}

RunningAttempt *Fleet::recordAttempt(const RunningAttempt &attempt)
{
    m_quotas.add(attempt.spec.team, attempt.kind(), attempt.spec.declared);
    if (attempt.isLatencyCritical)
        m_spread.add(attempt.classIndex, rackOf(attempt.worker));
    countBatch(attempt, true);
    RunningAttempt &added = m_attempts.add(attempt);
    updateAvailability(attempt.worker);
    return &added;
}

void Fleet::countBatch(const RunningAttempt &attempt, bool isAdded)
{
    if (attempt.isLatencyCritical)
        return;
    Core::Resources &batch = m_workers[attempt.worker].batch;
    batch = isAdded ? batch + attempt.spec.declared : batch - attempt.spec.declared;
}

void Fleet::updateAvailability(WorkerSlot worker)
{
    const bool isOnProbation = m_workers[worker].condition == WorkerCondition::OnProbation;
    const bool isOccupied = isOnProbation && !m_attempts.onWorker(worker).empty();
    if (!isSchedulable(worker) || isOccupied) {
        m_unclaimedCapacity.setAvailable(worker, CapacityTree::nothingAvailable);
        m_reclaimableCapacity.setAvailable(worker, CapacityTree::nothingAvailable);
        return;
    }
    const Core::Resources free = m_ledger.available(worker) - m_claims.claimedOn(worker);
    m_unclaimedCapacity.setAvailable(worker, free);
    const Core::Resources reclaimable = free + m_workers[worker].batch;
    m_reclaimableCapacity.setAvailable(
        worker, isOnProbation ? CapacityTree::nothingAvailable : reclaimable);
    if (m_claims.claimedOn(worker) != Core::Resources {})
        m_workersWithClaimsToCheck.insert(worker);
}

} // namespace Placement
