#include <LibJob/RoomReservation.h>

#include <algorithm>

namespace Jobs {

/// One of so many workers may be reserved, and one in any case.
static constexpr std::size_t workersPerReservation = 16;

void RoomReservation::begin(std::size_t workerCount)
{
    m_most = std::max<std::size_t>(1, workerCount / workersPerReservation);
    m_reserved.clear();
}

void RoomReservation::reserve(const TaskName &task, const Core::Resources &need,
                              const std::vector<WorkerState *> &candidates)
{
    if (isFull())
        return;
    const WorkerState *best = nullptr;
    for (const WorkerState *worker : candidates) {
        const bool isLarger = !best || worker->freeRoom().milliCores > best->freeRoom().milliCores;
        if (isLarger && !m_reserved.contains(worker) && need.fitsIn(worker->roomBesideLasting()))
            best = worker;
    }
    if (best)
        m_reserved.emplace(best, task);
}

bool RoomReservation::isKeptFrom(const TaskName &task, const WorkerState &worker) const
{
    const auto reserved = m_reserved.find(&worker);
    return reserved != m_reserved.end() && reserved->second != task;
}

} // namespace Jobs
