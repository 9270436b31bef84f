#include <LibJob/JobScheduler.h>

#include <algorithm>
#include <utility>

namespace Jobs {

using std::chrono::milliseconds;

/// How long after a vain search a worker is looked for again that is worth a reservation.
static constexpr Core::Duration reservationRetryInterval = milliseconds(200);

void JobScheduler::planOverdueAgain(const TimePoint &now)
{
    if (!std::exchange(m_isCapacityFreed, false))
        return;
    const std::int64_t mostFreeOfReserved = m_reservations.mostFreeMilliCores();
    for (const WaitingStep &waiting : m_pass.passedOverdue()) {
        if (isReservationWorkUsedUp() || isStartWindowFull()) {
            m_isCapacityFreed = true;
            return;
        }
        const OwnedJob &job = *waiting.job;
        const std::int64_t mostFree = std::max(
            m_capacityIndex.mostFreeMilliCores(queueOf(job)->service), mostFreeOfReserved);
        if (waiting.isStillWaiting() && job.spec(waiting.step).need.milliCores <= mostFree)
            planStep(waiting, now);
    }
}

bool JobScheduler::reserve(const PlacementRequest &request)
{
    if (m_reservations.isFull() || m_reservations.contains(request.task))
        return true;
    WorkerState *worker = m_chooser.chooseToReserve(m_listed, request);
    if (!worker) {
        m_withoutReservation.insert(request.task);
        return false;
    }
    reserve(*worker, request);
    return true;
}

void JobScheduler::reserve(WorkerState &worker, const PlacementRequest &request)
{
    m_withoutReservation.erase(request.task);
    m_reservations.reserve(request.task, request.step->need, worker);
    note(request.task, "reserve",
         "worker=" + worker.info().id.text()
             + " milli_cores=" + std::to_string(request.step->need.milliCores)
             + " free=" + std::to_string(worker.freeResources().milliCores));
}

bool JobScheduler::isWithoutReservation(const TaskName &name)
{
    OwnedJob *job = findJob(name.job);
    const TaskState *task = job && !job->isOver() ? job->findTask(name) : nullptr;
    const bool isInterrupted
        = task && !job->isTaskDone(name) && (!task->run || task->run->worker->isUnresponsive());
    return isInterrupted && !m_reservations.contains(name) && isWithinLimit(*job, name);
}

bool JobScheduler::reserveBeforeFirstRun(WorkerState &worker, const TimePoint &now)
{
    for (const TaskName &name : m_withoutReservation) {
        if (m_reservations.isFull() || isReservationWorkUsedUp())
            return false;
        m_planningWork += workPerStep;
        if (!isWithoutReservation(name))
            continue;
        const WaitingStep waiting
            = waitingStep(*findJob(name.job), name.occurrence, name.step, now);
        const PlacementRequest request = placementRequest(waiting, name.index, now);
        if (!m_chooser.isReservationUseful(worker, request))
            continue;
        reserve(worker, request);
        return true;
    }
    return false;
}

void JobScheduler::reserveForOverdue(const WaitingStep &waiting, int first, const TimePoint &now)
{
    OwnedJob &job = *waiting.job;
    OwnedStep &step
        = job.occurrences().at(waiting.occurrence)[static_cast<std::size_t>(waiting.step)];
    // The processors that a best-effort task takes aren't counted.
    const StepSpec &spec = job.spec(waiting.step);
    if (!spec.isLongRunning || spec.isBestEffort || now.instant < step.nextReservationAt)
        return;
    Core::Resources toBeUsed;
    for (int index = first; index < static_cast<int>(step.tasks.size()); ++index) {
        if (m_reservations.isFull() || isReservationWorkUsedUp())
            return;
        const TaskState &task = step.tasks[static_cast<std::size_t>(index)];
        if (!task.isOverdue(now.instant))
            continue;
        // Capacity that is reserved beyond the customer's limit would be of use to nobody.
        if (!countsAlready(job, task)) {
            if (!fitsInLimitWith(job, waiting.step, toBeUsed))
                continue;
            toBeUsed = toBeUsed + spec.need;
        }
        if (reserve(placementRequest(waiting, index, now)))
            continue;
        step.nextReservationAt = now.instant + reservationRetryInterval;
        return;
    }
}

void JobScheduler::reserveForRunsInDoubt(const TimePoint &now)
{
    for (const auto &[id, worker] : m_workers) {
        if (worker->isUnresponsive() && !worker->runs().empty())
            reserveForRunsOn(*worker, now);
    }
}

void JobScheduler::reserveForRunsOn(const WorkerState &worker, const TimePoint &now)
{
    const bool endsSoon
        = now.instant + SchedulerSettings::reservationTime >= worker.latestLeaseEnd();
    for (const TaskName &name : worker.runs()) {
        OwnedJob *job = findJob(name.job);
        const bool isLongRunning = job && !job->isOver() && job->spec(name.step).isLongRunning
            && !job->spec(name.step).isBestEffort;
        if (m_reservations.isFull() || isReservationWorkUsedUp())
            return;
        if (!isLongRunning || m_reservations.contains(name))
            continue;
        // A short task would have ended by then.
        if (!endsSoon) {
            m_withoutReservation.insert(name);
            continue;
        }
        OwnedStep &step
            = job->occurrences().at(name.occurrence)[static_cast<std::size_t>(name.step)];
        if (now.instant < step.nextReservationAt)
            continue;
        const WaitingStep waiting = waitingStep(*job, name.occurrence, name.step, now);
        if (!reserve(placementRequest(waiting, name.index, now)))
            step.nextReservationAt = now.instant + reservationRetryInterval;
    }
}

bool JobScheduler::isReservationUseful(const TaskName &name, const TimePoint &now)
{
    OwnedJob *job = findJob(name.job);
    const TaskState *task = job && !job->isOver() ? job->findTask(name) : nullptr;
    if (!task || (task->run && !task->run->worker->isUnresponsive()) || !isWithinLimit(*job, name))
        return false;
    WorkerState &worker = *m_reservations.workerOf(name);
    const WaitingStep waiting = waitingStep(*job, name.occurrence, name.step, now);
    return worker.isListed()
        && m_chooser.isReservationUseful(worker, placementRequest(waiting, name.index, now));
}

void JobScheduler::releaseUselessReservations(const TimePoint &now)
{
    for (const TaskName &name : m_reservations.tasks()) {
        if (!isReservationUseful(name, now))
            m_reservations.release(name);
    }
    std::erase_if(m_withoutReservation,
                  [this](const TaskName &name) { return !isWithoutReservation(name); });
}

void JobScheduler::reserveForWaiting(const WaitingStep &waiting, int index, const TimePoint &now)
{
    const bool isSoon
        = now.instant + SchedulerSettings::reservationTime >= formerRunsEndAt(*waiting.job);
    if (waiting.isOverdue && isSoon)
        reserveForOverdue(waiting, index, now);
}

} // namespace Jobs
