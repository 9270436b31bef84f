#include <LibPlacement/CapacityLedger.h>

#include <utility>

namespace Placement {

void CapacityLedger::setCapacity(WorkerSlot worker, const Core::Resources &capacity)
{
    if (worker >= m_workers.size())
        m_workers.resize(worker + 1);
    m_workers[worker].capacity = capacity;
}

bool CapacityLedger::reserve(const Task::AttemptId &attempt, WorkerSlot worker,
                             const Core::Resources &size)
{
    if (!size.fitsIn(room(worker)))
        return false;
    return adopt(attempt, worker, size);
}

bool CapacityLedger::adopt(const Task::AttemptId &attempt, WorkerSlot worker,
                           const Core::Resources &size)
{
    const bool isNew = m_reservations.try_emplace(attempt, Reservation { worker, size, {} }).second;
    if (!isNew)
        return false;
    WorkerTotals &totals = m_workers.at(worker);
    totals.reserved = totals.reserved + size;
    return true;
}

void CapacityLedger::setExcess(const Task::AttemptId &attempt, const Core::Resources &excess)
{
    const auto found = m_reservations.find(attempt);
    if (found == m_reservations.end())
        return;
    WorkerTotals &totals = m_workers.at(found->second.worker);
    totals.excess = totals.excess - found->second.excess + excess;
    found->second.excess = excess;
}

void CapacityLedger::rename(const Task::AttemptId &from, const Task::AttemptId &to)
{
    if (from == to || m_reservations.contains(to))
        return;
    auto node = m_reservations.extract(from);
    if (node.empty())
        return;
    node.key() = to;
    m_reservations.insert(std::move(node));
}

bool CapacityLedger::release(const Task::AttemptId &attempt)
{
    const auto found = m_reservations.find(attempt);
    if (found == m_reservations.end())
        return false;
    WorkerTotals &totals = m_workers.at(found->second.worker);
    totals.reserved = totals.reserved - found->second.size;
    totals.excess = totals.excess - found->second.excess;
    m_reservations.erase(found);
    return true;
}

const Reservation *CapacityLedger::find(const Task::AttemptId &attempt) const
{
    const auto found = m_reservations.find(attempt);
    return found == m_reservations.end() ? nullptr : &found->second;
}

Core::Resources CapacityLedger::room(WorkerSlot worker) const
{
    const WorkerTotals &totals = m_workers.at(worker);
    return totals.capacity - totals.reserved - totals.excess;
}

} // namespace Placement
