#pragma once

#include <LibJob/JobSpec.h>
#include <LibJob/TaskName.h>
#include <LibJob/WorkerState.h>

#include <map>
#include <vector>

namespace Jobs {

/// Keeps the room that becomes free on a few workers for long-running tasks that have waited for
/// long.
///
/// Answers a load of short tasks that never pauses: each takes the little room that another leaves,
/// and a task that needs more at once would wait for ever.
class RoomReservation
{
public:
    /// Begins anew; at most a small part of \p workerCount workers can be reserved.
    void begin(std::size_t workerCount);
    /// Reserves for \p task the worker among \p candidates that has the most room free, if what
    /// ends by itself there is enough for the task.
    void reserve(const TaskName &task, const Core::Resources &need,
                 const std::vector<WorkerState *> &candidates);
    /// True if the worker is reserved for another task.
    bool isKeptFrom(const TaskName &task, const WorkerState &worker) const;
    bool isFull() const { return m_reserved.size() >= m_most; }

private:
    std::size_t m_most = 0;
    std::map<const WorkerState *, TaskName> m_reserved;
};

} // namespace Jobs
