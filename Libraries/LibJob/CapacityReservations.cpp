#include <LibJob/CapacityReservations.h>

#include <algorithm>

namespace Jobs {

void CapacityReservations::limitFor(std::size_t workerCount)
{
    m_maxReservations = std::max<std::size_t>(1, workerCount);
}

void CapacityReservations::reserve(const TaskName &task, const Core::Resources &need,
                                   WorkerState &worker)
{
    m_reservations.emplace(task, Reservation { &worker, need });
    ReservedWorker &reserved = m_workers[worker.info().id];
    reserved.worker = &worker;
    ++reserved.reservations;
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
    const auto reserved = m_workers.find(worker.info().id);
    if (--reserved->second.reservations == 0)
        m_workers.erase(reserved);
}

void CapacityReservations::forget(const WorkerState &worker)
{
    std::erase_if(m_reservations,
                  [&worker](const auto &entry) { return entry.second.worker == &worker; });
    m_workers.erase(worker.info().id);
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

std::int64_t CapacityReservations::mostFreeMilliCores() const
{
    std::int64_t most = 0;
    for (const auto &[id, reserved] : m_workers)
        most = std::max(most, reserved.worker->freeResources().milliCores);
    return most;
}

int CapacityReservations::countOthersOfStep(const TaskName &task, const WorkerState &worker) const
{
    TaskName first = task;
    first.index = 0;
    int count = 0;
    for (auto it = m_reservations.lower_bound(first); it != m_reservations.end(); ++it) {
        const TaskName &other = it->first;
        const bool isOfStep = other.job == task.job && other.occurrence == task.occurrence
            && other.step == task.step;
        if (!isOfStep)
            break;
        count += it->second.worker == &worker && other.index != task.index ? 1 : 0;
    }
    return count;
}

} // namespace Jobs
