#include <LibPlacement/Fleet.h>

#include <utility>

namespace Placement {

std::vector<WorkerSlot> Fleet::setWorkers(const std::vector<Platform::VmEntry> &entries)
{
    std::vector<bool> wasOffered(m_workers.size());
    for (WorkerSlot worker = 0; worker < wasOffered.size(); ++worker) {
        wasOffered[worker] = isOffered(worker);
        m_workers[worker].isListed = false;
    }
    for (const Platform::VmEntry &entry : entries) {
        if (entry.kind == Platform::VmKind::Worker)
            updateEntry(slotOf(entry.id), entry);
    }
    updateTotals();
    std::vector<WorkerSlot> withdrawn;
    for (WorkerSlot worker = 0; worker < m_workers.size(); ++worker) {
        refresh(worker);
        if (worker < wasOffered.size() && wasOffered[worker] && !isOffered(worker))
            withdrawn.push_back(worker);
    }
    return withdrawn;
}

void Fleet::setRules(const Rules::RuleSet &rules, int failureDomains)
{
    m_quotas.setRules(rules, failureDomains);
}

void Fleet::setCondition(WorkerSlot worker, WorkerCondition condition)
{
    m_workers[worker].condition = condition;
    refresh(worker);
}

RunningAttempt *Fleet::reserve(const RunningAttempt &attempt)
{
    if (!m_ledger.reserve(attempt.attempt, attempt.worker, attempt.spec.declared))
        return nullptr;
    return account(attempt);
}

RunningAttempt *Fleet::adopt(const RunningAttempt &attempt)
{
    if (!m_ledger.adopt(attempt.attempt, attempt.worker, attempt.spec.declared))
        return nullptr;
    return account(attempt);
}

void Fleet::rename(RunningAttempt &attempt, const Task::AttemptId &name)
{
    m_ledger.rename(attempt.attempt, name);
    m_attempts.rename(attempt, name);
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
    refresh(released.worker);
    return released;
}

void Fleet::setUsed(const RunningAttempt &attempt, const Core::Resources &used)
{
    const Reservation *reservation = m_ledger.find(attempt.attempt);
    if (!reservation || reservation->used == used)
        return;
    m_ledger.setUsed(attempt.attempt, used);
    refresh(attempt.worker);
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
    refresh(attempt.worker);
}

void Fleet::claim(const Claim &claim)
{
    m_claims.add(claim);
    m_quotas.add(claim.task.spec.team, claim.taskKind, claim.task.spec.declared);
    refresh(claim.worker);
}

std::optional<Claim> Fleet::unclaim(const Core::TaskId &task)
{
    std::optional<Claim> claim = m_claims.remove(task);
    if (!claim)
        return claim;
    m_quotas.remove(claim->task.spec.team, claim->taskKind, claim->task.spec.declared);
    refresh(claim->worker);
    return claim;
}

WorkerSlot Fleet::slotOf(const Core::VmId &worker)
{
    const auto [position, isNew] = m_slots.try_emplace(worker, m_workers.size());
    if (!isNew)
        return position->second;
    const WorkerSlot slot = position->second;
    m_workers.emplace_back();
    m_workers[slot].entry.id = worker;
    m_workers[slot].rack = rackNamed({});
    m_racks[m_workers[slot].rack].push_back(slot);
    m_ledger.setCapacity(slot, {});
    refresh(slot);
    return slot;
}

std::optional<WorkerSlot> Fleet::findSlot(const Core::VmId &worker) const
{
    const auto found = m_slots.find(worker);
    if (found == m_slots.end())
        return std::nullopt;
    return found->second;
}

bool Fleet::isOffered(WorkerSlot worker) const
{
    const Worker &state = m_workers[worker];
    return state.isListed && state.entry.state == Platform::VmState::Live
        && state.condition != WorkerCondition::Quarantined;
}

double Fleet::partOf(WorkerSlot worker, const Core::Resources &size) const
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
    const RackIndex rack = rackNamed(entry.rack);
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

RackIndex Fleet::rackNamed(const std::string &rack)
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

RunningAttempt *Fleet::account(const RunningAttempt &attempt)
{
    m_quotas.add(attempt.spec.team, attempt.kind(), attempt.spec.declared);
    if (attempt.isLatencyCritical)
        m_spread.add(attempt.classIndex, rackOf(attempt.worker));
    countBatch(attempt, true);
    RunningAttempt &added = m_attempts.add(attempt);
    refresh(attempt.worker);
    return &added;
}

void Fleet::countBatch(const RunningAttempt &attempt, bool isAdded)
{
    if (attempt.isLatencyCritical)
        return;
    Core::Resources &batch = m_workers[attempt.worker].batch;
    batch = isAdded ? batch + attempt.spec.declared : batch - attempt.spec.declared;
}

void Fleet::refresh(WorkerSlot worker)
{
    const bool isOnProbation = m_workers[worker].condition == WorkerCondition::OnProbation;
    const bool isTaken = isOnProbation && !m_attempts.onWorker(worker).empty();
    if (!isOffered(worker) || isTaken) {
        m_freeIndex.setRoom(worker, WorkerIndex::noRoom);
        m_reclaimableIndex.setRoom(worker, WorkerIndex::noRoom);
        return;
    }
    const Core::Resources offered = m_ledger.room(worker) - m_claims.claimedOn(worker);
    m_freeIndex.setRoom(worker, offered);
    const Core::Resources reclaimable = offered + m_workers[worker].batch;
    m_reclaimableIndex.setRoom(worker, isOnProbation ? WorkerIndex::noRoom : reclaimable);
    if (m_claims.claimedOn(worker) != Core::Resources {})
        m_changedClaims.insert(worker);
}

} // namespace Placement
