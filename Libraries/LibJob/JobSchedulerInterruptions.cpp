#include <LibJob/JobScheduler.h>

#include <algorithm>

namespace Jobs {

using std::chrono::milliseconds;

/// The reason why long-running tasks don't run is logged once one of them has been away for longer.
static constexpr Core::Duration explainedInterruption = milliseconds(3000);
/// Interval at which interruptions are looked for, and the lines for one step repeated.
static constexpr Core::Duration interruptionCheckInterval = milliseconds(1000);
static constexpr Core::Duration interruptionLogInterval = milliseconds(3000);
/// Limits the lines of one check.
static constexpr int maxInterruptionLines = 16;

/// When the task was last known to run; nothing if it runs, as far as known, or never ran.
static std::optional<Core::Instant> awaySince(const TaskState &task)
{
    if (task.run && task.run->worker->isUnresponsive())
        return task.run->lastSignAt() == Core::Instant() ? task.awaySince : task.run->lastSignAt();
    const bool isRunning = task.run && task.run->phase == RunPhase::Running;
    if (isRunning || task.awaySince == Core::Instant())
        return std::nullopt;
    return task.awaySince;
}

void JobScheduler::logInterruptions(const TimePoint &now)
{
    if (now.instant < m_nextInterruptionCheckAt)
        return;
    m_nextInterruptionCheckAt = now.instant + interruptionCheckInterval;
    int lines = 0;
    for (const JobId &id : m_longRunning) {
        OwnedJob *job = findJob(id);
        if (!job || job->isOver())
            continue;
        for (auto &[occurrence, steps] : job->occurrences()) {
            for (std::size_t step = 0; step < steps.size() && lines < maxInterruptionLines; ++step)
                lines += logInterruption(*job, occurrence, static_cast<int>(step), now) ? 1 : 0;
        }
    }
}

bool JobScheduler::logInterruption(OwnedJob &job, int occurrence, int step, const TimePoint &now)
{
    OwnedStep &owned = job.occurrences().at(occurrence)[static_cast<std::size_t>(step)];
    const bool isDue = job.spec(step).isLongRunning && owned.isReady
        && now.instant >= owned.interruptionLoggedAt + interruptionLogInterval;
    if (!isDue)
        return false;
    int interrupted = 0;
    std::size_t longest = 0;
    Core::Instant longestSince = now.instant;
    for (std::size_t i = 0; i < owned.tasks.size(); ++i) {
        const std::optional<Core::Instant> since = awaySince(owned.tasks[i]);
        if (!since || now.instant < *since + explainedInterruption)
            continue;
        ++interrupted;
        longest = *since < longestSince ? i : longest;
        longestSince = std::min(longestSince, *since);
    }
    if (interrupted == 0)
        return false;
    owned.interruptionLoggedAt = now.instant;
    const WaitingStep waiting = waitingStep(job, occurrence, step, now);
    const auto away = std::chrono::duration_cast<milliseconds>(now.instant - longestSince);
    m_log.noteInterruption(
        { job.id(), occurrence, step, static_cast<int>(longest) },
        "away_ms=" + std::to_string(away.count()) + " tasks_away=" + std::to_string(interrupted)
            + ' ' + explainWait(waiting, owned.tasks[longest], static_cast<int>(longest), now));
    return true;
}

WaitReason JobScheduler::waitReason(OwnedJob &job, const TaskName &name, const TaskState &task,
                                    const TimePoint &now)
{
    if (task.run)
        return WaitReason::RunInDoubt;
    if (m_areStartsHeld)
        return WaitReason::StartsHeld;
    if (awaitsFormerRun(job, task, now.instant))
        return WaitReason::FormerRun;
    if (task.neededCommit > m_committed)
        return WaitReason::Commit;
    const bool isOverdue = job.spec(name.step).isLongRunning && task.isOverdue(now.instant);
    const bool mayBeIsolated
        = m_isStoreReachable && isolationBounds(job, name, isOverdue).mayStart();
    if (job.crashHistory(name).isSuspect() && !mayBeIsolated)
        return WaitReason::OtherSuspects;
    if (!fitsInLimit(job, name.step))
        return WaitReason::CustomerLimit;
    return isStartWindowFull() ? WaitReason::StartWindow : WaitReason::NoWorker;
}

Core::Resources JobScheduler::pendingUse(const WorkerState &worker)
{
    Core::Resources use;
    for (const TaskName &name : worker.startingRuns()) {
        OwnedJob *job = findJob(name.job);
        const TaskState *task = job ? job->findTask(name) : nullptr;
        const bool isPending = task && task->run && task->run->isStartPending();
        if (isPending && !job->spec(name.step).isBestEffort)
            use = use + job->spec(name.step).need;
    }
    return use;
}

std::string JobScheduler::explainRoom(const PlacementRequest &request)
{
    const Core::Resources &need = request.step->need;
    int avoidedWithRoom = 0;
    int roomAwaitsStart = 0;
    for (WorkerState *worker : m_listed) {
        const Core::Resources free = worker->freeResources();
        const Unsuitability reason = m_chooser.unsuitability(*worker, request);
        const bool isAvoided = reason == Unsuitability::Avoided;
        avoidedWithRoom += isAvoided && need.fitsIn(free) ? 1 : 0;
        const bool lacksRoom = reason == Unsuitability::NoRoom;
        roomAwaitsStart += lacksRoom && need.fitsIn(free + pendingUse(*worker)) ? 1 : 0;
    }
    return " avoided_with_room=" + std::to_string(avoidedWithRoom)
        + " room_awaits_start=" + std::to_string(roomAwaitsStart);
}

std::string JobScheduler::explainIsolation(OwnedJob &job) const
{
    const std::vector<TaskName> doubts = doubtsOf(job);
    const auto ofJob = std::count_if(doubts.begin(), doubts.end(), [&job](const TaskName &name) {
        const TaskState *task = job.findTask(name);
        return task && task->run && task->run->worker->isIsolated(name);
    });
    return "isolating_workers=" + std::to_string(m_isolatingWorkers)
        + " workers=" + std::to_string(m_listed.size()) + " of_job=" + std::to_string(ofJob);
}

std::string JobScheduler::explainWait(const WaitingStep &waiting, const TaskState &task, int index,
                                      const TimePoint &now)
{
    OwnedJob &job = *waiting.job;
    const TaskName name { job.id(), waiting.occurrence, waiting.step, index };
    const WaitReason reason = waitReason(job, name, task, now);
    std::string text = std::string("reason=") + waitReasonText(reason);
    if (reason == WaitReason::RunInDoubt)
        return text + " worker=" + task.run->worker->info().id.text()
            + " run=" + std::to_string(task.run->number);
    if (reason == WaitReason::FormerRun)
        return text + " worker=" + job.unreconciledWorkers.begin()->text()
            + " workers=" + std::to_string(job.unreconciledWorkers.size()) + " ends_in_ms="
            + std::to_string(
                   std::chrono::ceil<milliseconds>(formerRunsEndAt(job) - now.instant).count());
    if (reason == WaitReason::CustomerLimit)
        return text + ' ' + explainLimit(job);
    if (reason == WaitReason::OtherSuspects)
        return text + ' ' + explainIsolation(job);
    if (reason != WaitReason::NoWorker)
        return text;
    const PlacementRequest request = placementRequest(waiting, index, now);
    if (m_chooser.choose(request))
        return std::string("reason=") + waitReasonText(WaitReason::NextPass);
    return text + " milli_cores=" + std::to_string(request.step->need.milliCores)
        + " mebibytes=" + std::to_string(request.step->need.mebibytes) + ' '
        + m_chooser.explain(m_listed, request) + explainRoom(request);
}

} // namespace Jobs
