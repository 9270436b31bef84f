#include <LibJob/JobScheduler.h>

#include <algorithm>

namespace Jobs {

using std::chrono::milliseconds;

static constexpr int fullPercent = 100;

void JobScheduler::addRun(OwnedJob &job, const TaskName &name, WorkerState &worker,
                          std::int64_t number, RunPhase phase, const TimePoint &now)
{
    TaskState &task = *job.findTask(name);
    const StepSpec &spec = job.spec(name.step);
    task.run = std::make_unique<TaskRun>();
    task.run->number = number;
    task.run->worker = &worker;
    task.run->phase = phase;
    task.run->phaseBeganAt = now.instant;
    task.run->plannedAt = now.instant;
    task.run->progressedAt = now.instant;
    // A long-running task never ends by itself, so there is no end of it to learn soon.
    task.run->isUrgent = isUrgent(job) && !spec.isLongRunning;
    worker.urgentRuns += task.run->isUrgent ? 1 : 0;
    m_pendingStarts += task.run->isStartPending() ? 1 : 0;
    task.run->sentAt = now.instant;
    task.lastRun = std::max(task.lastRun, number);
    m_customerLedger.add(job.submission().customer, spec.need);
    worker.addRun(name, spec, job.images[static_cast<std::size_t>(name.step)]);
    job.refresh(name.occurrence);
    ++m_runs;
}

void JobScheduler::setPhase(TaskRun &run, RunPhase phase, const TimePoint &now)
{
    m_pendingStarts -= run.isStartPending() ? 1 : 0;
    run.phase = phase;
    run.phaseBeganAt = now.instant;
    m_pendingStarts += run.isStartPending() ? 1 : 0;
}

void JobScheduler::noteRunStarted(OwnedJob &job, const TaskName &name, const TaskRun &run,
                                  const TimePoint &now)
{
    const OwnedStep &step
        = job.occurrences().at(name.occurrence)[static_cast<std::size_t>(name.step)];
    const TaskState &task = step.tasks[static_cast<std::size_t>(name.index)];
    const Core::Instant couldStartAt = std::max(step.readyAt, task.lastRunEndedAt);
    if (couldStartAt != Core::Instant())
        m_log.noteStarted(queueOf(job)->id, name.step, now.instant - couldStartAt);
    job.timing.noteStarted(name.step, run.plannedAt, run.sentAt, now.instant);
}

void JobScheduler::setThrottle(TaskRun &run, const StepSpec &spec, int percent)
{
    run.worker->noteThrottle(spec, run.throttlePercent, percent);
    run.throttlePercent = percent;
}

void JobScheduler::removeRun(OwnedJob &job, const TaskName &name, DoubtAfterRun doubt)
{
    TaskState *task = job.findTask(name);
    if (!task || !task->run)
        return;
    if (doubt == DoubtAfterRun::Settled)
        withdrawDoubt(job, name);
    const StepSpec &spec = job.spec(name.step);
    const bool wasPlanned = task->run->phase == RunPhase::Planned;
    if (task->run->isStopWanted)
        m_stopping.erase({ task->run->worker->info().id, name });
    const ImageIndex image = job.images[static_cast<std::size_t>(name.step)];
    if (spec.isBestEffort && task->run->phase == RunPhase::Running)
        task->run->worker->noteBestEffortEnded(spec, image, task->run->throttlePercent, m_now);
    setThrottle(*task->run, spec, fullPercent);
    // The loss of a run may become known only long after it.
    if (task->run->lastSignAt() != Core::Instant())
        task->awaySince = task->run->lastSignAt();
    else if (task->run->phase == RunPhase::Uncertain && task->awaySince == Core::Instant())
        task->awaySince = task->run->sentAt;
    task->run->worker->removeRun(name, spec, image);
    m_customerLedger.remove(job.submission().customer, spec.need);
    m_pendingStarts -= task->run->isStartPending() ? 1 : 0;
    task->run->worker->urgentRuns -= task->run->isUrgent ? 1 : 0;
    task->run.reset();
    if (!wasPlanned)
        task->lastRunEndedAt = m_now;
    m_isCapacityFreed = true;
    job.refresh(name.occurrence);
    --m_runs;
    m_needsPass = true;
    // The final record is written once more after the last run is gone; then onCommitted() removes
    // the job.
    if (job.isOver() && !job.hasRuns()) {
        job.isDirty = true;
        markDirty(job);
    }
}

void JobScheduler::stopAllRuns(OwnedJob &job, const TimePoint &now)
{
    for (auto &[occurrence, steps] : job.occurrences()) {
        for (std::size_t step = 0; step < steps.size(); ++step) {
            for (std::size_t index = 0; index < steps[step].tasks.size(); ++index) {
                TaskRun *run = steps[step].tasks[index].run.get();
                if (run)
                    requestStop(
                        { job.id(), occurrence, static_cast<int>(step), static_cast<int>(index) },
                        *run, now);
            }
        }
    }
}

void JobScheduler::requestStop(const TaskName &name, TaskRun &run, const TimePoint &now)
{
    run.isStopWanted = true;
    run.stopSentAt = now.instant;
    const WorkerInfo &worker = run.worker->info();
    m_stopping.emplace(worker.id, name);
    note(name, "stop", "worker=" + worker.id.text() + " run=" + std::to_string(run.number));
    m_commands.emplace_back(
        StopCommand { worker.id, worker.address, name, run.number, run.worker->token() });
    run.worker->renewBy(now.instant + renewalInterval(*run.worker));
}

void JobScheduler::resendStops(const TimePoint &now)
{
    for (const auto &[worker, name] : m_stopping) {
        OwnedJob *job = findJob(name.job);
        TaskState *task = job ? job->findTask(name) : nullptr;
        if (!task || !task->run)
            continue;
        if (now.instant >= task->run->stopSentAt + m_settings.stopRetryInterval)
            requestStop(name, *task->run, now);
    }
}

static bool isUnanswered(StartOutcome outcome)
{
    return outcome == StartOutcome::Unknown || outcome == StartOutcome::Interrupted;
}

void JobScheduler::markBegun(OwnedJob &job)
{
    if (job.markBegun())
        m_begun.insert(job.id());
}

void JobScheduler::onStartOutcome(const StartCommand &command, StartOutcome outcome,
                                  const TimePoint &now)
{
    if (outcome != StartOutcome::Started)
        note(command.task, "start-outcome",
             std::string(startOutcomeText(outcome)) + " worker=" + command.worker.text()
                 + " run=" + std::to_string(command.run));
    if (outcome == StartOutcome::Fenced && isDeposedBy(command.worker, command.token)) {
        m_isDeposed = true;
        return;
    }
    OwnedJob *job = findJob(command.task.job);
    if (job && outcome == StartOutcome::Started)
        markBegun(*job);
    TaskState *task = job ? job->findTask(command.task) : nullptr;
    const bool isCurrent = task && task->run && task->run->number == command.run
        && task->run->worker->info().id == command.worker;
    if (!isCurrent)
        return;
    TaskRun &run = *task->run;
    WorkerState &worker = *run.worker;
    if (outcome == StartOutcome::Started) {
        if (run.phase == RunPhase::Starting) {
            setPhase(run, RunPhase::Running, now);
            run.progressedAt = now.instant;
            noteRunStarted(*job, command.task, run, now);
        }
        return;
    }
    if (isUnanswered(outcome)) {
        if (run.phase != RunPhase::Starting)
            return;
        run.wasStartTimeout = outcome == StartOutcome::Unknown;
        if (run.wasStartTimeout)
            withdrawDoubt(*job, command.task);
        setPhase(run, RunPhase::Uncertain, now);
        worker.noteRefusal(now.instant);
        if (worker.isUnresponsive())
            recordRunsInDoubt(worker);
        requestStop(command.task, run, now);
        return;
    }
    if (outcome == StartOutcome::Refused || outcome == StartOutcome::OtherIncarnation)
        worker.noteUnhealthy(now.instant);
    else if (outcome != StartOutcome::OldRun && outcome != StartOutcome::Withheld
             && outcome != StartOutcome::Fenced)
        worker.noteRefusal(now.instant);
    if (outcome == StartOutcome::OldRun)
        task->lastRun += 1;
    // Nothing was sent, so no run has ended, and the task is interrupted for as long as it was.
    if (outcome == StartOutcome::Withheld || outcome == StartOutcome::NotSent
        || outcome == StartOutcome::OtherProcess)
        setPhase(run, RunPhase::Planned, now);
    const bool isOutdated = outcome == StartOutcome::OtherProcess
        && worker.processStartUnixMs() == command.processStartUnixMs;
    if (isOutdated)
        awaitReport(worker, now);
    removeRun(*job, command.task);
    if (outcome == StartOutcome::OtherIncarnation)
        onOtherIncarnation(command.worker, command.address, now);
}

void JobScheduler::onStopAnswered(const StopCommand &command, const TimePoint &now)
{
    OwnedJob *job = findJob(command.task.job);
    TaskState *task = job ? job->findTask(command.task) : nullptr;
    const bool isCurrent = task && task->run && task->run->number == command.run
        && task->run->worker->info().id == command.worker;
    if (!isCurrent)
        return;
    task->run->stopAnsweredAt = now.instant;
    task->run->worker->setNextRenewalAt(now.instant);
}

void JobScheduler::onTaskDone(OwnedJob &job, const TaskName &name, const TimePoint &now)
{
    if (!job.spec(name.step).isGang) {
        job.markTaskDone(name, now.unixMs);
        onTasksDone(job, name.occurrence, now);
        return;
    }
    // The end of one member stands for the ends of all.
    for (int index = 0; index < job.spec(name.step).taskCount; ++index)
        removeRun(job, { name.job, name.occurrence, name.step, index });
    for (int index = 0; index < job.spec(name.step).taskCount; ++index) {
        if (job.markTaskDone({ name.job, name.occurrence, name.step, index }, now.unixMs))
            break;
    }
    onTasksDone(job, name.occurrence, now);
}

void JobScheduler::onTasksDone(OwnedJob &job, int occurrence, const TimePoint &now)
{
    if (job.isOver())
        job.endKnownAt = now.instant;
    job.refresh(occurrence);
    noteReadySteps(job, occurrence, now);
    markDirty(job);
}

void JobScheduler::onTaskFailed(OwnedJob &job, const EndedEntry &end, const TimePoint &now)
{
    const TaskName &name = end.task;
    if (job.spec(name.step).isLongRunning)
        return;
    const int failures = job.addFailedRun(name, end.run);
    markDirty(job);
    if (failures < queueOf(job)->attemptLimit)
        return;
    m_log.noteJobGivenUp(name, "job-failed", "failures=" + std::to_string(failures));
    endEarly(job, JobState::Failed, now);
}

static bool isAbandoned(const OwnedJob &job, const TaskName &name, std::int64_t run)
{
    const StepProgress &step
        = job.progress().occurrences.at(name.occurrence)[static_cast<std::size_t>(name.step)];
    const auto abandoned = step.abandonedRuns.find(name.index);
    return abandoned != step.abandonedRuns.end() && run <= abandoned->second;
}

void JobScheduler::onRunEnded(WorkerState &worker, const EndedEntry &end, Core::Duration unwatched,
                              const TimePoint &now)
{
    OwnedJob *job = findJob(end.task.job);
    if (job)
        markBegun(*job);
    TaskState *task = job ? findReportedTask(*job, end.task, now) : nullptr;
    if (!task || job->isTaskDone(end.task))
        return;
    const bool isCurrent
        = task->run && task->run->worker == &worker && task->run->number == end.run;
    const bool isSuperseded = !isCurrent
        && (task->run || end.run < task->lastRun || isAbandoned(*job, end.task, end.run));
    if (end.kind != EndKind::Done || isSuperseded)
        note(end.task, "ended",
             "worker=" + worker.info().id.text() + " run=" + std::to_string(end.run)
                 + " kind=" + endKindText(end.kind) + (isSuperseded ? " superseded" : ""));
    if (end.kind == EndKind::Failed)
        worker.noteTaskFailed(now.instant);
    else if (end.kind == EndKind::Done)
        worker.noteTaskDone();
    if (isSuperseded) {
        // Ends of runs of a former owner may be reported in any order. Each failed one counts as an
        // attempt.
        const bool isAttempt = end.kind == EndKind::Failed && !job->isOver()
            && !isAbandoned(*job, end.task, end.run);
        if (isAttempt)
            onTaskFailed(*job, end, now);
        return;
    }
    task->lastRun = std::max(task->lastRun, end.run);
    if (!end.checkpoint.empty())
        task->checkpoint = end.checkpoint;
    if (end.kind == EndKind::Failed)
        task->failedOn = worker.info().id;
    if (isCurrent) {
        removeRun(*job, end.task);
        // A worker reports an end at once.
        task->awaySince = now.instant;
    }
    m_needsPass = true;
    if (job->isOver())
        return;
    // The worker has outlived the run, and a task that crashes its workers never gets that far.
    const bool hasWorked = end.kind == EndKind::Done || end.kind == EndKind::Failed
        || end.kind == EndKind::LeaseExpired;
    if (hasWorked)
        setCrashHistory(*job, end.task, {});
    const bool isDone = end.kind == EndKind::Done && !job->spec(end.task.step).isLongRunning;
    if (isDone) {
        m_log.noteEndKnown(queueOf(*job)->id, end.task.step, unwatched);
        job->timing.noteDone(end.task.step, now.instant, unwatched);
        onTaskDone(*job, end.task, now);
    } else if (end.kind == EndKind::Failed)
        onTaskFailed(*job, end, now);
}

void JobScheduler::expireLeases(const TimePoint &now)
{
    for (const auto &[id, worker] : m_workers) {
        if (!worker->runs().empty() && now.instant > worker->latestLeaseEnd())
            expireRunsOf(*worker, now);
    }
}

void JobScheduler::expireRunsOf(WorkerState &worker, const TimePoint &now)
{
    for (const TaskName &name : TaskNames(worker.runs())) {
        OwnedJob *job = findJob(name.job);
        TaskState *task = job ? job->findTask(name) : nullptr;
        if (!task || !task->run || task->run->phase == RunPhase::Planned)
            continue;
        if (now.instant <= task->run->longestLeaseEnd)
            continue;
        const auto silentFor
            = std::chrono::duration_cast<milliseconds>(now.instant - worker.lastAnswerAt());
        const auto ranFor = std::chrono::duration_cast<milliseconds>(
            std::max(worker.unresponsiveSince(), task->run->sentAt) - task->run->sentAt);
        note(name, "lease-expired",
             "worker=" + worker.info().id.text() + " run=" + std::to_string(task->run->number)
                 + " silent_ms=" + std::to_string(silentFor.count())
                 + " ran_ms=" + std::to_string(ranFor.count())
                 + " seen=" + (task->run->seenAt == Core::Instant() ? '0' : '1'));
        const std::int64_t run = task->run->number;
        // The worker may be cut off rather than have crashed.
        removeRun(*job, name, DoubtAfterRun::Kept);
        abandon(*job, name, run);
    }
    settleDoubtsByList(now);
}

void JobScheduler::removeRunsOf(WorkerState &worker)
{
    for (const TaskName &name : TaskNames(worker.runs())) {
        OwnedJob *job = findJob(name.job);
        TaskState *task = job ? job->findTask(name) : nullptr;
        if (!task || !task->run)
            continue;
        const std::int64_t run = task->run->number;
        const bool wasPlanned = task->run->phase == RunPhase::Planned;
        removeRun(*job, name);
        if (wasPlanned)
            continue;
        note(name, "gone",
             "worker=" + worker.info().id.text() + " run=" + std::to_string(run) + " replaced");
        abandon(*job, name, run);
    }
}

void JobScheduler::abandon(OwnedJob &job, const TaskName &name, std::int64_t run)
{
    TaskState *task = job.findTask(name);
    if (!task || job.isOver())
        return;
    job.abandon(name, run);
    markDirty(job);
    task->lastRun = std::max(task->lastRun, run);
    task->neededCommit = m_lastCommit + 1;
}

} // namespace Jobs
