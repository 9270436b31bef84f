#pragma once

#include <LibJob/JobSpec.h>
#include <LibJob/TaskName.h>
#include <LibJob/WorkerState.h>

#include <map>
#include <vector>

namespace Jobs {

/// Reserves a few workers for long-running tasks that were interrupted and haven't run again for
/// longer than allowed.
///
/// Prevents starvation by a continuous load of short tasks: each of these takes the little capacity
/// that another one frees, so a task that needs more at once would wait forever.
class CapacityReservation
{
public:
    /// Removes all reservations. Limits the number of new ones to a small part of \p workerCount,
    /// but allows at least one.
    void reset(std::size_t workerCount);
    /// Reserves one of \p candidates for \p task: among the unreserved workers that can hold the
    /// task once all tasks there except long-running ones have ended, the one with the most free
    /// processors. Does nothing if there is none or if isFull().
    void reserve(const TaskName &task, const Core::Resources &need,
                 const std::vector<WorkerState *> &candidates);
    /// Removes the reservation of a worker that is about to be deleted.
    void forget(const WorkerState &worker) { m_reserved.erase(&worker); }
    /// True if the worker is reserved for a task other than \p task.
    bool isReservedForOther(const TaskName &task, const WorkerState &worker) const;
    bool isFull() const { return m_reserved.size() >= m_maxReservations; }

private:
    std::size_t m_maxReservations = 0;
    /// The task for which each reserved worker is kept.
    std::map<const WorkerState *, TaskName> m_reserved;
};

} // namespace Jobs
