#pragma once

#include <LibJob/JobSpec.h>
#include <LibJob/TaskName.h>
#include <LibJob/WorkerState.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Jobs {

/// Capacity that is kept for long-running tasks that were interrupted: what short tasks leave on
/// the worker of a reservation goes to no other task, unless that is overdue itself and can start
/// there at once.
///
/// Prevents starvation by a continuous load of short tasks: each of these takes the little capacity
/// that another one frees, so a task that needs more at once would wait forever.
class CapacityReservations
{
public:
    /// Limits the number of reservations to that of the workers, but allows at least one.
    void limitFor(std::size_t workerCount);
    bool isFull() const { return m_reservations.size() >= m_maxReservations; }
    bool contains(const TaskName &task) const { return m_reservations.contains(task); }

    /// Reserves \p need on the worker until release(). The task must have no reservation yet.
    void reserve(const TaskName &task, const Core::Resources &need, WorkerState &worker);
    /// Does nothing if the task has no reservation.
    void release(const TaskName &task);
    /// Releases what is reserved on a worker that is about to be deleted.
    void forget(const WorkerState &worker);

    /// Returns null if the task has no reservation.
    WorkerState *workerOf(const TaskName &task) const;
    /// What is reserved for the task on the worker.
    Core::Resources reservedFor(const TaskName &task, const WorkerState &worker) const;
    /// The workers with reservations and the number of these, by the workers' IDs.
    struct ReservedWorker
    {
        WorkerState *worker = nullptr;
        int reservations = 0;
    };
    const std::map<Core::VmId, ReservedWorker> &workers() const { return m_workers; }
    /// The most free processors of a worker with reservations, in thousandths of a core; 0 if there
    /// is none.
    std::int64_t mostFreeMilliCores() const;
    /// The tasks with a reservation.
    std::vector<TaskName> tasks() const;
    /// How many other tasks of the same step have a reservation on the worker.
    int countOthersOfStep(const TaskName &task, const WorkerState &worker) const;

private:
    struct Reservation
    {
        WorkerState *worker = nullptr;
        Core::Resources need;
    };

    std::size_t m_maxReservations = 0;
    std::map<TaskName, Reservation> m_reservations;
    std::map<Core::VmId, ReservedWorker> m_workers;
};

} // namespace Jobs
