#include <LibPlacement/CapacityLedger.h>

#include <algorithm>
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
    if (!size.fitsIn(available(worker)))
        return false;
    return adopt(attempt, worker, size);
}

bool CapacityLedger::adopt(const Task::AttemptId &attempt, WorkerSlot worker,
                           const Core::Resources &size)
{
    const bool isNew
        = m_reservations.try_emplace(attempt, Reservation { worker, size, size }).second;
    if (!isNew)
        return false;
    WorkerTotals &totals = m_workers.at(worker);
    totals.reserved = totals.reserved + size;
    totals.used = totals.used + size;
    return true;
}

void CapacityLedger::setUsed(const Task::AttemptId &attempt, const Core::Resources &used)
{
    const auto found = m_reservations.find(attempt);
    if (found == m_reservations.end())
        return;
    WorkerTotals &totals = m_workers.at(found->second.worker);
    totals.used = totals.used - found->second.used + used;
    found->second.used = used;
}

void CapacityLedger::changeId(const Task::AttemptId &from, const Task::AttemptId &to)
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
    totals.used = totals.used - found->second.used;
    m_reservations.erase(found);
    return true;
}

const Reservation *CapacityLedger::find(const Task::AttemptId &attempt) const
{
    const auto found = m_reservations.find(attempt);
    return found == m_reservations.end() ? nullptr : &found->second;
}

Core::Resources CapacityLedger::available(WorkerSlot worker) const
{
    const WorkerTotals &totals = m_workers.at(worker);
    const Core::Resources taken { std::max(totals.reserved.milliCores, totals.used.milliCores),
                                  std::max(totals.reserved.mebibytes, totals.used.mebibytes),
                                  std::max(totals.reserved.accelerators,
                                           totals.used.accelerators) };
    return totals.capacity - taken;
}

} // namespace Placement
