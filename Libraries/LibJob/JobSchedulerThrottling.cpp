#include <LibJob/JobScheduler.h>

#include <algorithm>

namespace Jobs {

using std::chrono::milliseconds;

/// A task that reports this progress is ready to serve requests.
static constexpr int fullPercent = 100;
/// Interval at which throttles are reviewed independently of reports.
static constexpr Core::Duration throttleUpdateInterval = milliseconds(200);
/// Lower bound of that interval for each listed worker: reports lead to reviews as well, so a large
/// site can do with fewer of these.
static constexpr Core::Duration throttleUpdateIntervalPerWorker = std::chrono::microseconds(400);
/// Bounds the time that one call takes.
static constexpr std::size_t maxThrottleUpdatesPerCall = 128;
/// Range of times ahead for which loads are predicted: a short task that starts now runs at least
/// until the first.
static constexpr Core::Duration forecastBegin = milliseconds(300);
static constexpr Core::Duration forecastEnd = milliseconds(1500);
/// Minimum interval between two changes of a run's throttle.
static constexpr Core::Duration minThrottleInterval = milliseconds(150);
/// Smaller increases of the percentage are skipped, except one to 100 percent.
static constexpr int minThrottleRise = 20;

/// Returns the tail latency of a serving task as a multiple of its target; 0 if the task isn't
/// serving yet or has no target.
static double tailRatio(const StepSpec &spec, const TaskRun &run)
{
    if (spec.tailTargetMs == 0 || run.percentDone < fullPercent)
        return 0;
    return static_cast<double>(run.recentLoad) / static_cast<double>(spec.tailTargetMs);
}

void JobScheduler::updateOverTarget(const StepSpec &spec, TaskRun &run, Core::Instant now)
{
    const bool isOver = tailRatio(spec, run) > 1;
    if (!isOver)
        run.overTargetSince = {};
    else if (run.overTargetSince == Core::Instant())
        run.overTargetSince = now;
}

JobScheduler::ColocatedRuns JobScheduler::colocatedRuns(const WorkerState &worker)
{
    ColocatedRuns all;
    all.tasks.reserve(worker.runs().size());
    all.runs.reserve(worker.runs().size());
    all.specs.reserve(worker.runs().size());
    for (const TaskName &name : worker.runs()) {
        OwnedJob *job = findJob(name.job);
        TaskState *task = job ? job->findTask(name) : nullptr;
        if (!task || !task->run || task->run->phase != RunPhase::Running)
            continue;
        const StepSpec &spec = job->spec(name.step);
        ColocatedTask &colocated = all.tasks.emplace_back();
        colocated.name = name;
        colocated.image = job->images[static_cast<std::size_t>(name.step)];
        colocated.isBestEffort = spec.isBestEffort;
        colocated.share = worker.shareOf(spec.need.milliCores);
        colocated.usedShare = spec.isBestEffort ? worker.shareOf(task->run->recentLoad) : 0;
        colocated.tailRatio = tailRatio(spec, *task->run);
        colocated.overTargetSince = task->run->overTargetSince;
        colocated.reportedAt = worker.lastAnswerAt();
        colocated.percent = task->run->throttlePercent;
        all.runs.push_back(task->run.get());
        all.specs.push_back(&spec);
    }
    return all;
}

void JobScheduler::updateColocation(WorkerState &worker, const TimePoint &now)
{
    const ColocatedRuns colocated = colocatedRuns(worker);
    if (worker.servingCount() > 0)
        updateSlowdownModel(worker, colocated, now);
    if (worker.bestEffortCount() > 0)
        updateThrottles(colocated, now);
}

void JobScheduler::updateSlowdownModel(WorkerState &worker, const ColocatedRuns &colocated,
                                       const TimePoint &now)
{
    worker.isOverTarget
        = std::any_of(colocated.runs.begin(), colocated.runs.end(),
                      [](const TaskRun *run) { return run->overTargetSince != Core::Instant(); });
    m_throttleController.observe(colocated.tasks, worker.endedBestEffort(now.instant), now.instant);
    forecastLoads(worker, colocated.tasks, now);
}

void JobScheduler::forecastLoads(WorkerState &worker, const std::vector<ColocatedTask> &tasks,
                                 const TimePoint &now)
{
    worker.servingLoads.clear();
    ++worker.revision;
    double requestedShare = 0;
    double usedShare = 0;
    for (const ColocatedTask &colocated : tasks) {
        if (colocated.tailRatio <= 0)
            continue;
        double load = 0;
        for (const Core::Duration ahead : { forecastBegin, forecastEnd })
            load = std::max(
                load,
                m_throttleController
                    .predictedLoad(colocated.name.job, colocated.image, now.instant + ahead)
                    .load);
        double &highest = worker.servingLoads[colocated.image];
        highest = std::max(highest, load);
        requestedShare += colocated.share;
        usedShare += colocated.share * load;
    }
    if (requestedShare > 0)
        worker.setServingUtilization(usedShare / requestedShare);
}

void JobScheduler::updateAllThrottles(const TimePoint &now)
{
    if (!isThrottleSweepUnderWay()) {
        if (now.instant < m_nextThrottleUpdateAt)
            return;
        m_throttleController.updatePriors();
        const auto workers = static_cast<Core::Duration::rep>(m_listed.size());
        m_nextThrottleUpdateAt = now.instant
            + std::max(throttleUpdateInterval, workers * throttleUpdateIntervalPerWorker);
        m_nextThrottleUpdate = 0;
    }
    const std::size_t end
        = std::min(m_nextThrottleUpdate + maxThrottleUpdatesPerCall, m_listed.size());
    for (; m_nextThrottleUpdate < end; ++m_nextThrottleUpdate)
        reviewThrottles(*m_listed[m_nextThrottleUpdate], now);
}

void JobScheduler::reviewThrottles(WorkerState &worker, const TimePoint &now)
{
    if (worker.servingCount() == 0 && worker.bestEffortCount() == 0)
        return;
    const ColocatedRuns colocated = colocatedRuns(worker);
    if (worker.servingCount() > 0)
        forecastLoads(worker, colocated.tasks, now);
    // Also on workers without serving tasks: throttles that were set for tasks that have ended must
    // be released.
    if (worker.bestEffortCount() > 0)
        updateThrottles(colocated, now);
}

double JobScheduler::highestTailRatio(const std::vector<ColocatedTask> &tasks)
{
    double highest = 0;
    for (const ColocatedTask &colocated : tasks)
        highest = std::max(highest, colocated.tailRatio);
    return highest;
}

void JobScheduler::updateThrottles(const ColocatedRuns &colocated, const TimePoint &now)
{
    const std::vector<int> percents
        = m_throttleController.throttlePercents(colocated.tasks, now.instant);
    for (std::size_t i = 0; i < colocated.tasks.size(); ++i) {
        TaskRun &run = *colocated.runs[i];
        if (!colocated.tasks[i].isBestEffort || run.isStopWanted
            || now.instant < run.throttledAt + minThrottleInterval)
            continue;
        const int rise = percents[i] - run.throttlePercent;
        const bool isWanted
            = rise < 0 || rise >= minThrottleRise || (rise > 0 && percents[i] == fullPercent);
        if (isWanted || !run.isThrottleKnown)
            throttle(colocated.tasks[i].name, run, *colocated.specs[i], percents[i],
                     highestTailRatio(colocated.tasks), now);
    }
}

void JobScheduler::throttle(const TaskName &name, TaskRun &run, const StepSpec &spec, int percent,
                            double highestTailRatio, const TimePoint &now)
{
    setThrottle(run, spec, percent);
    run.throttledAt = now.instant;
    run.isThrottleKnown = true;
    const WorkerInfo &worker = run.worker->info();
    note(name, "throttle",
         "worker=" + worker.id.text() + " run=" + std::to_string(run.number) + " percent="
             + std::to_string(percent) + " tail_of_target=" + std::to_string(highestTailRatio));
    m_commands.emplace_back(ThrottleCommand { worker.id, worker.address, name, run.number, percent,
                                              run.worker->token() });
}

void JobScheduler::onThrottleFailed(const ThrottleCommand &command)
{
    OwnedJob *job = findJob(command.task.job);
    TaskState *task = job ? job->findTask(command.task) : nullptr;
    const bool isCurrent = task && task->run && task->run->number == command.run
        && task->run->worker->info().id == command.worker;
    if (isCurrent)
        task->run->isThrottleKnown = false;
}

} // namespace Jobs
