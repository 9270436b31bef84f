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

std::vector<JobScheduler::ColocatedRun> JobScheduler::colocatedRuns(const WorkerState &worker)
{
    std::vector<ColocatedRun> runs;
    for (const TaskName &name : worker.runs()) {
        OwnedJob *job = findJob(name.job);
        TaskState *task = job ? job->findTask(name) : nullptr;
        if (!task || !task->run || task->run->phase != RunPhase::Running)
            continue;
        const StepSpec &spec = job->spec(name.step);
        ColocatedTask colocated;
        colocated.name = name;
        colocated.image = job->images[static_cast<std::size_t>(name.step)];
        colocated.isBestEffort = spec.isBestEffort;
        colocated.share = worker.shareOf(spec.need.milliCores);
        colocated.usedShare = spec.isBestEffort ? worker.shareOf(task->run->recentLoad) : 0;
        colocated.tailRatio = tailRatio(spec, *task->run);
        colocated.overTargetSince = task->run->overTargetSince;
        colocated.reportedAt = worker.lastAnswerAt();
        colocated.percent = task->run->throttlePercent;
        runs.push_back({ colocated, task->run.get() });
    }
    return runs;
}

std::vector<ColocatedTask> JobScheduler::colocatedTasks(const std::vector<ColocatedRun> &runs)
{
    std::vector<ColocatedTask> colocatedTasks;
    colocatedTasks.reserve(runs.size());
    for (const ColocatedRun &colocatedRun : runs)
        colocatedTasks.push_back(colocatedRun.task);
    return colocatedTasks;
}

void JobScheduler::updateSlowdownModel(WorkerState &worker, const TimePoint &now)
{
    if (worker.servingCount() == 0)
        return;
    const std::vector<ColocatedRun> runs = colocatedRuns(worker);
    worker.isOverTarget
        = std::any_of(runs.begin(), runs.end(), [](const ColocatedRun &colocatedRun) {
              return colocatedRun.run->overTargetSince != Core::Instant();
          });
    m_throttleController.observe(colocatedTasks(runs), worker.endedBestEffort(now.instant),
                                 now.instant);
    forecastLoads(worker, runs, now);
}

void JobScheduler::forecastLoads(WorkerState &worker, const std::vector<ColocatedRun> &runs,
                                 const TimePoint &now)
{
    worker.servingLoads.clear();
    ++worker.revision;
    double requestedShare = 0;
    double usedShare = 0;
    for (const ColocatedRun &colocatedRun : runs) {
        const ColocatedTask &colocated = colocatedRun.task;
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
    for (; m_nextThrottleUpdate < end; ++m_nextThrottleUpdate) {
        WorkerState &worker = *m_listed[m_nextThrottleUpdate];
        if (worker.servingCount() > 0)
            forecastLoads(worker, colocatedRuns(worker), now);
        // Also on workers without serving tasks: throttles that were set for tasks that have ended
        // must be released.
        updateThrottles(worker, now);
    }
}

double JobScheduler::highestTailRatio(const std::vector<ColocatedRun> &runs)
{
    double highest = 0;
    for (const ColocatedRun &colocatedRun : runs)
        highest = std::max(highest, colocatedRun.task.tailRatio);
    return highest;
}

void JobScheduler::updateThrottles(WorkerState &worker, const TimePoint &now)
{
    if (worker.bestEffortCount() == 0)
        return;
    const std::vector<ColocatedRun> runs = colocatedRuns(worker);
    const std::vector<int> percents
        = m_throttleController.throttlePercents(colocatedTasks(runs), now.instant);
    for (std::size_t i = 0; i < runs.size(); ++i) {
        const TaskRun &run = *runs[i].run;
        if (!runs[i].task.isBestEffort || run.isStopWanted
            || now.instant < run.throttledAt + minThrottleInterval)
            continue;
        const int rise = percents[i] - run.throttlePercent;
        const bool isWanted
            = rise < 0 || rise >= minThrottleRise || (rise > 0 && percents[i] == fullPercent);
        if (isWanted || !run.isThrottleKnown)
            throttle(runs[i], percents[i], highestTailRatio(runs), now);
    }
}

void JobScheduler::throttle(const ColocatedRun &bestEffort, int percent, double highestTailRatio,
                            const TimePoint &now)
{
    TaskRun &run = *bestEffort.run;
    setThrottle(run, findJob(bestEffort.task.name.job)->spec(bestEffort.task.name.step), percent);
    run.throttledAt = now.instant;
    run.isThrottleKnown = true;
    const WorkerInfo &worker = run.worker->info();
    note(bestEffort.task.name, "throttle",
         "worker=" + worker.id.text() + " run=" + std::to_string(run.number) + " percent="
             + std::to_string(percent) + " tail_of_target=" + std::to_string(highestTailRatio));
    m_commands.emplace_back(ThrottleCommand { worker.id, worker.address, bestEffort.task.name,
                                              run.number, percent, m_ownership.token });
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
