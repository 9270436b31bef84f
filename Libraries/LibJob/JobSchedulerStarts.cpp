#include <LibJob/JobScheduler.h>

#include <algorithm>
#include <utility>

namespace Jobs {

using std::chrono::milliseconds;

/// Minimum interval between two planning passes.
static constexpr Core::Duration minPassInterval = milliseconds(10);
/// Extra interval for each waiting step: every step makes a pass longer, and passes must not use
/// the whole processor.
static constexpr Core::Duration passIntervalPerStep = std::chrono::microseconds(100);
static constexpr Core::Duration maxPassInterval = milliseconds(1000);
/// A job is large if its work is at least this multiple of its queue's mean.
static constexpr double largeJobRatio = 1.5;
/// How long a job waits for workers where it violates no target.
static constexpr Core::Duration maxWaitWithinTargets = milliseconds(1500);
/// The reason why a step waits is logged once it has waited longer than `minExplainedWait`, and at
/// most once per `explanationInterval`.
static constexpr Core::Duration minExplainedWait = milliseconds(1000);
static constexpr Core::Duration explanationInterval = milliseconds(5000);
/// Interval at which leases, stops and the retention of jobs are checked.
static constexpr Core::Duration checkInterval = milliseconds(100);
/// A pass that takes longer doesn't know of the steps that have become ready meanwhile.
static constexpr Core::Duration maxPassAge = milliseconds(250);

std::vector<Command> JobScheduler::takeCommands(const TimePoint &now)
{
    m_now = now.instant;
    m_planningWork = 0;
    m_looksBefore = m_chooser.looks();
    if (now.instant >= m_nextCheckAt) {
        const bool isCheckLate = now.instant >= m_nextCheckAt + 2 * checkInterval;
        m_nextCheckAt = now.instant + checkInterval;
        expireLeases(now);
        settleFormerLeases(now);
        // While this process is late, an answer may be there that it hasn't read.
        if (!isCheckLate && !m_overload.isLate())
            suspendOverdueWorkers(now);
        liftForgottenSuspensions(now);
        reserveForRunsInDoubt(now);
        resendStops(now);
        deleteOldJobs(now);
        logInterruptions(now);
    }
    if (!m_isDeposed)
        updateAllThrottles(now);
    // Without new input a pass is still made from time to time: waiting times and occurrences that
    // become due change what can start.
    const bool isDue = m_needsPass ? now.instant >= m_nextPassAt
                                   : now.instant >= m_nextPassAt + m_settings.renewalWait / 5;
    if (m_areStartsHeld)
        m_pass = {};
    dropOutdatedPass(now);
    if (m_pass.isOver() && isDue && !m_isDeposed && !isStartWindowFull())
        beginPass(now);
    if (!m_pass.isOver() && !m_isDeposed)
        continuePass(now);
    return std::exchange(m_commands, {});
}

void JobScheduler::dropOutdatedPass(const TimePoint &now)
{
    if (m_pass.isOver() || !isStartWindowFull() || now.instant < m_passBeganAt + maxPassAge)
        return;
    m_pass = {};
    m_needsPass = true;
    m_nextPassAt = std::min(m_nextPassAt, now.instant);
}

void JobScheduler::beginPass(const TimePoint &now)
{
    m_needsPass = false;
    m_pass = {};
    m_passBeganAt = now.instant;
    for (const JobId &id : m_scheduled)
        beginDueOccurrences(*m_jobs.at(id), now);
    if (m_areStartsHeld)
        return;
    refreshCustomers(now);
    m_pass = PlanningPass(waitingSteps(now), now.instant);
    m_nextPassAt = now.instant + minPassInterval
        + std::min<Core::Duration>(m_pass.size() * passIntervalPerStep, maxPassInterval);
    m_reservations.limitFor(m_listed.size());
    releaseUselessReservations(now);
    m_isUnderused = isUnderused();
    countIsolatingWorkers();
    appointWitnesses(now);
}

void JobScheduler::continuePass(const TimePoint &now)
{
    refreshOtherUse(now);
    planOverdueAgain(now);
    while (!m_pass.isOver() && !isPlanningWorkUsedUp() && !isStartWindowFull()) {
        const WaitingStep waiting = m_pass.next();
        m_planningWork += workPerStep;
        if (hasRisenAboveShare(waiting)) {
            m_pass.postponeAboveShare();
            continue;
        }
        if (waiting.isStillWaiting())
            planWaitingStep(waiting, now);
        // A step that a bound has interrupted is continued by the next call.
        if (isPlanningWorkUsedUp() || isStartWindowFull())
            break;
        // Its first tasks may have taken the rest of the customer's share.
        if (hasRisenAboveShare(waiting) && waiting.isStillWaiting()) {
            m_pass.postponeAboveShare();
            continue;
        }
        m_pass.advance();
        // The next time of a scheduled job may begin once tasks of the former ones have a place.
        if (waiting.job)
            beginDueOccurrences(*waiting.job, now);
    }
    if (!m_pass.isOver() && isStartWindowFull())
        m_overload.noteStartWindowFull();
}

void JobScheduler::planWaitingStep(const WaitingStep &waiting, const TimePoint &now)
{
    const StepSpec &spec = waiting.job->spec(waiting.step);
    // An overdue task may start where others may not.
    const bool isHopeless = !waiting.isOverdue && m_pass.isRejected(demandOf(waiting, now));
    if (isHopeless) {
        logPlaceInOrder(waiting, now);
        return;
    }
    const bool isPlaced = planStep(waiting, now);
    const bool isUnconstrained = spec.requiredLabel.empty() && spec.maxPerWorker == 0
        && !spec.isGang && m_isStoreReachable;
    // The demand may have changed: some tasks of the step may have runs now.
    if (!isPlaced && isUnconstrained)
        m_pass.reject(demandOf(waiting, now));
}

Demand JobScheduler::demandOf(const WaitingStep &waiting, const TimePoint &now) const
{
    const StepSpec &spec = waiting.job->spec(waiting.step);
    Demand demand { queueOf(*waiting.job)->service, spec.need, spec.isBestEffort,
                    mayExceedTargets(waiting, now) };
    if (spec.isBestEffort)
        demand.image = waiting.job->images[static_cast<std::size_t>(waiting.step)];
    return demand;
}

bool JobScheduler::mayExceedTargets(const WaitingStep &waiting, const TimePoint &now) const
{
    return m_isUnderused && now.instant > waiting.rank.dueAt + maxWaitWithinTargets
        && !waiting.job->hasRuns();
}

bool JobScheduler::isUnderused() const
{
    std::int64_t capacity = 0;
    for (const WorkerState *worker : m_listed)
        capacity += worker->info().capacity.milliCores;
    return 2 * freeMilliCores() > capacity;
}

void JobScheduler::beginDueOccurrences(OwnedJob &job, const TimePoint &now)
{
    if (job.isOver())
        return;
    const bool isScheduled = job.submission().spec.isScheduled();
    while (job.mayBeginOccurrence()) {
        const std::optional<int> next = job.nextOccurrence();
        if (!next)
            return;
        if (isScheduled && dueAt(job, *next, now) - m_settings.earlyStart > now.instant)
            return;
        beginOccurrence(job, *next, now);
    }
}

void JobScheduler::beginOccurrence(OwnedJob &job, int occurrence, const TimePoint &now)
{
    job.beginOccurrence(occurrence);
    m_needsPass = true;
    // A former owner has begun nothing that is due after its last lease has ended.
    const Core::Instant due = dueAt(job, occurrence, now);
    const bool areUnseen = !job.unreconciledWorkers.empty();
    const bool areLost = job.hasUnknownFormerRuns && due < m_ownership.formerLeasesEndAt;
    if (areUnseen || areLost)
        job.noteFormerRuns(occurrence, std::min(now.instant, due));
    if (!areUnseen && areLost)
        abandonUnknownRuns(job, occurrence);
    noteReadySteps(job, occurrence, now);
    if (areUnseen)
        m_customerLedger.addOtherUse(job.submission().customer,
                                     unseenUseOfOccurrence(job, occurrence));
}

TaskState *JobScheduler::findReportedTask(OwnedJob &job, const TaskName &name, const TimePoint &now)
{
    TaskState *task = job.findTask(name);
    if (task || job.isOver() || !job.isOccurrenceAhead(name.occurrence))
        return task;
    beginOccurrence(job, name.occurrence, now);
    return job.findTask(name);
}

void JobScheduler::noteReadySteps(OwnedJob &job, int occurrence, const TimePoint &now)
{
    const auto found = job.occurrences().find(occurrence);
    if (found == job.occurrences().end())
        return;
    for (std::size_t i = 0; i < found->second.size(); ++i) {
        OwnedStep &step = found->second[i];
        if (!step.isReady || step.readyAt != Core::Instant())
            continue;
        const auto index = static_cast<int>(i);
        step.readyAt = now.instant;
        job.timing.noteReady(index, now.instant);
        if (m_pass.isOver() || step.waitingCount == 0)
            continue;
        m_customerShares.addSharing(job.submission().customer);
        m_pass.join(waitingStep(job, occurrence, index, now));
    }
}

void JobScheduler::addWaitingSteps(OwnedJob &job, const TimePoint &now,
                                   std::vector<WaitingStep> &waiting) const
{
    if (job.isOver())
        return;
    for (const int occurrence : job.waitingOccurrences()) {
        const std::vector<OwnedStep> &steps = job.occurrences().at(occurrence);
        for (std::size_t i = 0; i < steps.size(); ++i) {
            if (!steps[i].isReady || steps[i].waitingCount == 0)
                continue;
            waiting.push_back(waitingStep(job, occurrence, static_cast<int>(i), now));
        }
    }
}

WaitingStep JobScheduler::waitingStep(OwnedJob &job, int occurrence, int step,
                                      const TimePoint &now) const
{
    const Queue &queue = *queueOf(job);
    const Core::Instant due = dueAt(job, occurrence, now);
    WaitingStep waiting;
    waiting.rank = m_order.rank(job, occurrence, step, queue, due, now.instant);
    waiting.rank.isAboveShare = isAboveShare(job);
    waiting.job = &job;
    waiting.occurrence = occurrence;
    waiting.step = step;
    waiting.isLarge = waiting.rank.timeliness != Timeliness::TooLate
        && job.totalWork() >= largeJobRatio * m_order.meanWork(queue.id);
    return waiting;
}

std::vector<WaitingStep> JobScheduler::waitingSteps(const TimePoint &now) const
{
    std::vector<WaitingStep> waiting;
    for (const auto &[id, job] : m_jobs)
        addWaitingSteps(*job, now, waiting);
    return waiting;
}

std::int64_t JobScheduler::nextRunNumber(const TaskState &task) const
{
    return std::max(task.lastRun + 1, m_ownership.term * runsPerTerm + 1);
}

bool JobScheduler::planStep(const WaitingStep &waiting, const TimePoint &now)
{
    OwnedJob &job = *waiting.job;
    if (job.spec(waiting.step).isGang)
        return planGang(waiting, now);
    const bool areFormerRunsAwaited = awaitsReconciliation(job, now.instant);
    OwnedStep &step
        = job.occurrences().at(waiting.occurrence)[static_cast<std::size_t>(waiting.step)];
    WaitingStep withReservations = waiting;
    withReservations.mayOnlyUseReservations = true;
    bool isPlaced = true;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        const auto index = static_cast<int>(i);
        const TaskName name { job.id(), waiting.occurrence, waiting.step, index };
        if (step.tasks[i].run || job.isTaskDone(name))
            continue;
        if (waiting.isOverdue && !step.tasks[i].isOverdue(now.instant))
            continue;
        if (isPlanningWorkUsedUp() || isStartWindowFull())
            return true;
        if (step.tasks[i].neededCommit > m_committed
            || (areFormerRunsAwaited && step.tasks[i].mayRunUnseen)) {
            reserveForWaiting(waiting, index, now);
            continue;
        }
        // Until the store is back it can't be recorded that the task may have been started, nor
        // that those after it may.
        if (!m_isStoreReachable && !job.isTaskDurable(waiting.step, index))
            return false;
        // A wide step mustn't take the room of a whole pass before the steps of other customers.
        if (hasRisenAboveShare(waiting))
            return true;
        // All tasks of the step request the same. That the customer is at its limit says nothing
        // about other tasks with this demand.
        if (!mayCustomerStart(waiting, index, now))
            return true;
        // Whether a suspect finds a worker says nothing about other tasks.
        if (job.crashHistory(name).isSuspect()) {
            planSuspect(waiting, index, nextRunNumber(step.tasks[i]), now);
            continue;
        }
        // Where one task of the step finds no worker, only those with a reservation may find one.
        if (!isPlaced && !m_reservations.contains(name))
            continue;
        const TaskPlan plan = planTask(isPlaced ? waiting : withReservations, index,
                                       nextRunNumber(step.tasks[i]), now);
        if (plan != TaskPlan::NoWorker)
            continue;
        if (!waiting.isOverdue)
            return false;
        if (std::exchange(isPlaced, false))
            reserveForOverdue(waiting, index, now);
    }
    return isPlaced;
}

bool JobScheduler::planGang(const WaitingStep &waiting, const TimePoint &now)
{
    OwnedJob &job = *waiting.job;
    OwnedStep &step
        = job.occurrences().at(waiting.occurrence)[static_cast<std::size_t>(waiting.step)];
    const auto size = static_cast<int>(step.tasks.size());
    // A member that still runs will end without the others; then all members start together.
    if (step.waitingCount < size || !mayCustomerStart(waiting, 0, now))
        return false;
    for (int index = 0; index < size; ++index) {
        const TaskState &task = step.tasks[static_cast<std::size_t>(index)];
        const bool mayStart = task.neededCommit <= m_committed
            && !awaitsFormerRun(job, task, now.instant)
            && (m_isStoreReachable || job.isTaskDurable(waiting.step, index));
        if (!mayStart)
            return false;
    }
    const TaskName first { job.id(), waiting.occurrence, waiting.step, 0 };
    const bool isSuspect = job.sharedCrashHistory(first).isSuspect();
    const IsolationBounds isolation = isolationBounds(job, first, false);
    const bool mayBeIsolated
        = m_isStoreReachable && isolation.mayBegin && isolation.workerOfJob == nullptr;
    if (isSuspect && !mayBeIsolated)
        return false;
    std::int64_t run = 0;
    std::string checkpoint;
    for (const TaskState &task : step.tasks) {
        run = std::max(run, nextRunNumber(task));
        checkpoint = std::max(checkpoint, task.checkpoint);
    }
    for (TaskState &task : step.tasks)
        task.checkpoint = checkpoint;
    for (int index = 0; index < size; ++index) {
        const TaskPlan plan = planTask(waiting, index, run, now);
        if (plan == TaskPlan::Planned)
            continue;
        if (plan == TaskPlan::NoWorker)
            reserveForOverdue(waiting, index, now);
        for (int planned = 0; planned < index; ++planned)
            removeRun(job, { job.id(), waiting.occurrence, waiting.step, planned });
        return false;
    }
    for (int index = 0; index < size; ++index) {
        const TaskState &task = step.tasks[static_cast<std::size_t>(index)];
        job.notePlannedStart(waiting.step, index, task.run->worker->info().id);
        m_reservations.release({ job.id(), waiting.occurrence, waiting.step, index });
    }
    for (int index = 0; isSuspect && index < size; ++index)
        isolateRun(job, { job.id(), waiting.occurrence, waiting.step, index }, false);
    markDirty(job);
    startPlannedRuns(job, now);
    return true;
}

PlacementRequest JobScheduler::placementRequest(const WaitingStep &waiting, int index,
                                                const TimePoint &now)
{
    OwnedJob &job = *waiting.job;
    const TaskName name { job.id(), waiting.occurrence, waiting.step, index };
    const TaskState &task = *job.findTask(name);
    PlacementRequest request;
    request.job = &job;
    request.step = &job.spec(waiting.step);
    request.image = job.images[static_cast<std::size_t>(waiting.step)];
    request.task = name;
    request.service = queueOf(job)->service;
    request.failedOn = task.failedOn;
    request.isSuspect = job.sharedCrashHistory(name).isSuspect();
    // A run in doubt will have been away for long once that is known.
    const bool isInDoubt = task.run && task.run->worker->isUnresponsive();
    request.isOverdue = request.step->isLongRunning && (isInDoubt || task.isOverdue(now.instant));
    if (request.isSuspect)
        request.isolation = isolationBounds(job, name, request.isOverdue);
    request.mayOnlyUseReservation = waiting.mayOnlyUseReservations;
    request.requiresDurableWorker = !m_isStoreReachable;
    request.provenAt = m_provenAt;
    // A job must not be delayed for the targets of others while the site has free capacity.
    request.mayExceedTargets = mayExceedTargets(waiting, now);
    request.outOfService = &m_outOfService;
    request.now = now.instant;
    return request;
}

bool JobScheduler::askIfUnheard(const PlacementRequest &request, WorkerState &worker)
{
    if (!WorkerChooser::isUnheard(worker, request))
        return false;
    worker.ask(request.now);
    return true;
}

JobScheduler::TaskPlan JobScheduler::planTask(const WaitingStep &waiting, int index,
                                              std::int64_t run, const TimePoint &now)
{
    OwnedJob &job = *waiting.job;
    const TaskName name { job.id(), waiting.occurrence, waiting.step, index };
    const PlacementRequest request = placementRequest(waiting, index, now);
    WorkerState *worker = m_chooser.choose(request);
    const bool isFirstRun
        = request.step->isLongRunning && job.findTask(name)->awaySince == Core::Instant();
    // Another long-running task would keep the capacity for good.
    while (worker && isFirstRun && reserveBeforeFirstRun(*worker, now))
        worker = m_chooser.choose(request);
    if (!worker) {
        logWaitReason(waiting, request, now);
        return TaskPlan::NoWorker;
    }
    if (askIfUnheard(request, *worker))
        return TaskPlan::WorkerAsked;
    m_planningWork += workPerTask;
    addRun(job, name, *worker, run, RunPhase::Planned, now);
    // Workers of a gang are recorded by planGang() once all members are placed.
    if (request.step->isGang)
        return TaskPlan::Planned;
    m_reservations.release(name);
    job.notePlannedStart(waiting.step, index, worker->info().id);
    markDirty(job);
    if (job.isStartDurable(waiting.step, index, worker->info().id))
        sendStart(job, name, *job.findTask(name)->run, now);
    return TaskPlan::Planned;
}

bool JobScheduler::isWaitLoggedNow(const WaitingStep &waiting, const TimePoint &now)
{
    OwnedStep &step
        = waiting.job->occurrences().at(waiting.occurrence)[static_cast<std::size_t>(waiting.step)];
    const bool isLogged = now.instant >= waiting.rank.dueAt + minExplainedWait
        && now.instant >= step.explainedAt + explanationInterval;
    if (isLogged)
        step.explainedAt = now.instant;
    return isLogged;
}

void JobScheduler::logWaitReason(const WaitingStep &waiting, const PlacementRequest &request,
                                 const TimePoint &now)
{
    if (!isWaitLoggedNow(waiting, now))
        return;
    const auto waited = std::chrono::duration_cast<milliseconds>(now.instant - waiting.rank.dueAt);
    note(request.task, "wait",
         explainOrder(waiting) + "due_ms_ago=" + std::to_string(waited.count())
             + " milli_cores=" + std::to_string(request.step->need.milliCores)
             + " mebibytes=" + std::to_string(request.step->need.mebibytes) + " label="
             + request.step->requiredLabel + ' ' + m_chooser.explain(m_listed, request));
}

void JobScheduler::sendStart(OwnedJob &job, const TaskName &task, TaskRun &run,
                             const TimePoint &now)
{
    WorkerState &worker = *run.worker;
    StartCommand command;
    command.worker = worker.info().id;
    command.address = worker.info().address;
    command.processStartUnixMs = worker.processStartUnixMs();
    command.task = task;
    command.run = run.number;
    command.payload = job.submission().spec.payload;
    command.checkpoint = job.findTask(task)->checkpoint;
    command.leaseDeadlineMs = worker.grantLease(now.instant, latestLeaseEnd());
    command.token = worker.token();
    command.isOfGang = job.spec(task.step).isGang;
    // The longer an interrupted long-running task is away, the more is lost.
    const bool isBack
        = job.spec(task.step).isLongRunning && job.findTask(task)->awaySince != Core::Instant();
    command.isUrgent = run.isUrgent || isBack;
    setPhase(run, RunPhase::Starting, now);
    run.sentAt = now.instant;
    run.startDeadline = worker.latestLeaseEnd();
    run.longestLeaseEnd = now.instant + m_settings.startDeliveryTime
        + m_settings.longestOnOwnersClock(m_settings.maxLease);
    worker.renewBy(now.instant + renewalInterval(worker));
    note(task, "start",
         "worker=" + command.worker.text() + " run=" + std::to_string(run.number)
             + " free=" + std::to_string(worker.freeResources().milliCores));
    m_commands.emplace_back(std::move(command));
}

void JobScheduler::startPlannedRuns(OwnedJob &job, const TimePoint &now)
{
    for (auto &[occurrence, steps] : job.occurrences()) {
        for (std::size_t step = 0; step < steps.size(); ++step)
            startPlannedRuns(job, occurrence, static_cast<int>(step), now);
    }
}

void JobScheduler::startPlannedRuns(OwnedJob &job, int occurrence, int step, const TimePoint &now)
{
    const StepSpec &spec = job.spec(step);
    std::vector<TaskState> &tasks
        = job.occurrences().at(occurrence)[static_cast<std::size_t>(step)].tasks;
    const auto isDurable = [&](const TaskState &task) {
        const TaskRun *run = task.run.get();
        if (!run || run->phase != RunPhase::Planned)
            return true;
        const auto index = static_cast<int>(&task - tasks.data());
        return job.isStartDurable(step, index, run->worker->info().id)
            && run->neededCommit <= m_committed;
    };
    // A gang starts only when the starts of all its members are durable and have room.
    if (spec.isGang && !std::all_of(tasks.begin(), tasks.end(), isDurable))
        return;
    const auto cannotStart = [&spec](const TaskState &task) {
        return task.run && task.run->phase == RunPhase::Planned
            && (!task.run->worker->isAnswering() || !task.run->worker->hasRoomForCounted(spec));
    };
    const bool isGangDropped = spec.isGang && std::any_of(tasks.begin(), tasks.end(), cannotStart);
    for (std::size_t index = 0; index < tasks.size(); ++index) {
        TaskRun *run = tasks[index].run.get();
        if (!run || run->phase != RunPhase::Planned || !isDurable(tasks[index]))
            continue;
        const TaskName name { job.id(), occurrence, step, static_cast<int>(index) };
        if (isGangDropped || cannotStart(tasks[index]))
            dropPlannedRun(job, name, *run);
        else
            sendStart(job, name, *run, now);
    }
}

void JobScheduler::dropPlannedRun(OwnedJob &job, const TaskName &name, const TaskRun &run)
{
    note(name, "plan-dropped",
         "worker=" + run.worker->info().id.text()
             + " free=" + std::to_string(run.worker->freeResources().milliCores)
             + " answering=" + (run.worker->isAnswering() ? '1' : '0'));
    removeRun(job, name);
}

void JobScheduler::discardPlannedRuns(OwnedJob &job)
{
    std::vector<TaskName> planned;
    for (auto &[occurrence, steps] : job.occurrences()) {
        for (std::size_t step = 0; step < steps.size(); ++step) {
            for (std::size_t index = 0; index < steps[step].tasks.size(); ++index) {
                const TaskRun *run = steps[step].tasks[index].run.get();
                if (run && run->phase == RunPhase::Planned)
                    planned.push_back(
                        { job.id(), occurrence, static_cast<int>(step), static_cast<int>(index) });
            }
        }
    }
    for (const TaskName &name : planned)
        removeRun(job, name);
}

} // namespace Jobs
