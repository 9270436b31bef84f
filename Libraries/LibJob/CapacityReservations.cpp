#include <LibJob/CapacityReservations.h>

#include <algorithm>

namespace Jobs {

/// There is at most one reservation for this many workers, but at least one.
static constexpr std::size_t workersPerReservation = 1;

void CapacityReservations::limitFor(std::size_t workerCount)
{
    m_maxReservations = std::max<std::size_t>(1, workerCount / workersPerReservation);
}

void CapacityReservations::reserve(const TaskName &task, const Core::Resources &need,
                                   WorkerState &worker)
{
    m_reservations.emplace(task, Reservation { &worker, need });
    worker.setReserved(worker.reserved() + need);
}

void CapacityReservations::release(const TaskName &task)
{
    const auto found = m_reservations.find(task);
    if (found == m_reservations.end())
        return;
    WorkerState &worker = *found->second.worker;
    worker.setReserved(worker.reserved() - found->second.need);
    m_reservations.erase(found);
}

void CapacityReservations::forget(const WorkerState &worker)
{
    std::erase_if(m_reservations,
                  [&worker](const auto &entry) { return entry.second.worker == &worker; });
}

WorkerState *CapacityReservations::workerOf(const TaskName &task) const
{
    const auto found = m_reservations.find(task);
    return found == m_reservations.end() ? nullptr : found->second.worker;
}

Core::Resources CapacityReservations::reservedFor(const TaskName &task,
                                                  const WorkerState &worker) const
{
    const auto found = m_reservations.find(task);
    const bool isThere = found != m_reservations.end() && found->second.worker == &worker;
    return isThere ? found->second.need : Core::Resources();
}

std::vector<TaskName> CapacityReservations::tasks() const
{
    std::vector<TaskName> tasks;
    for (const auto &[task, reservation] : m_reservations)
        tasks.push_back(task);
    return tasks;
}

std::vector<WorkerState *> CapacityReservations::workers() const
{
    std::vector<WorkerState *> workers;
    for (const auto &[task, reservation] : m_reservations)
        workers.push_back(reservation.worker);
    const auto isBefore = [](const WorkerState *left, const WorkerState *right) {
        return left->info().id < right->info().id;
    };
    std::sort(workers.begin(), workers.end(), isBefore);
    workers.erase(std::unique(workers.begin(), workers.end()), workers.end());
    return workers;
}

std::int64_t CapacityReservations::mostFreeMilliCores() const
{
    std::int64_t most = 0;
    for (const auto &[task, reservation] : m_reservations)
        most = std::max(most, reservation.worker->freeResources().milliCores);
    return most;
}

} // namespace Jobs
