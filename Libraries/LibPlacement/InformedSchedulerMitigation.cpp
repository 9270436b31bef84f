#include <LibPlacement/InformedScheduler.h>

#include <algorithm>
#include <utility>

namespace Placement {

namespace {

/// Added to every interference coefficient, so that among classes without known interference larger
/// attempts still come first.
constexpr double baseCoefficient = 0.05;
/// The number of workers checked per scheduling pass; bounds the cost of a pass.
constexpr std::size_t mitigationsPerCall = 4;
/// The throttle percentage of an attempt without CPU limit.
constexpr int unlimitedPercent = 100;

} // namespace

void InformedScheduler::updateHealth(Pass &pass)
{
    for (const WorkerSlot worker : m_health.update(pass.now, m_fleet.listedWorkers())) {
        m_fleet.setCondition(worker, m_health.condition(worker));
        if (!m_fleet.isSchedulable(worker))
            requeueClaimsOn(worker);
    }
}

void InformedScheduler::holdFaultyJobs(Pass &pass)
{
    for (const Core::TaskId &task : std::set<Core::TaskId>(m_failedBefore)) {
        if (!m_health.isJobFaulty(task, m_fleet.listedWorkers()))
            continue;
        const std::string failures = std::to_string(m_health.failuresOfJob(task));
        const std::string reason = "failed on " + failures + " workers where other work succeeds";
        removeWaiting(task);
        m_health.forgetJob(task);
        m_held[task] = reason;
        pass.decisions.emplace_back(HoldDecision { task, reason });
    }
}

void InformedScheduler::evacuate(Pass &pass)
{
    while (!m_toEvacuate.empty() && m_evacuationLimiter.isReady(pass.now)) {
        const Task::AttemptId next = m_toEvacuate.front();
        m_toEvacuate.pop_front();
        RunningAttempt *attempt = m_fleet.attempts().find(next);
        if (!attempt || attempt->isStopping || isAllowedHere(attempt->spec.taskClass))
            continue;
        m_evacuationLimiter.tryAcquire(pass.now);
        evict(pass, *attempt, "its class may not run in this failure domain now");
    }
}

void InformedScheduler::mitigateInterference(Pass &pass)
{
    for (const WorkerSlot worker : m_interference.takeWorkersDue(pass.now, mitigationsPerCall))
        mitigate(pass, worker);
}

void InformedScheduler::mitigate(Pass &pass, WorkerSlot worker)
{
    PossibleResponses possible;
    for (const RunningAttempt *attempt : m_fleet.attempts().onWorker(worker)) {
        const bool isThrottled = attempt->throttlePercent != unlimitedPercent;
        possible.canUnthrottle = possible.canUnthrottle || isThrottled;
        possible.canEvict = possible.canEvict || attempt->isEvictable();
        possible.canThrottle = possible.canThrottle || (attempt->isEvictable() && !isThrottled);
    }
    switch (m_interference.nextResponse(worker, pass.now, possible)) {
    case PressureResponse::None:
        return;
    case PressureResponse::Throttle:
        return throttleMostInterfering(pass, worker);
    case PressureResponse::Evict:
        return evictMostInterfering(pass, worker);
    case PressureResponse::Unthrottle:
        return unthrottleLeastInterfering(pass, worker);
    }
}

void InformedScheduler::throttleMostInterfering(Pass &pass, WorkerSlot worker)
{
    std::vector<RunningAttempt *> attempts;
    double total = 0.0;
    for (RunningAttempt *attempt : m_fleet.attempts().onWorker(worker)) {
        if (!attempt->isEvictable() || attempt->throttlePercent != unlimitedPercent)
            continue;
        attempts.push_back(attempt);
        total += interferenceOf(*attempt);
    }
    const auto interferesMore = [this](const RunningAttempt *left, const RunningAttempt *right) {
        return interferenceOf(*left) > interferenceOf(*right);
    };
    std::stable_sort(attempts.begin(), attempts.end(), interferesMore);
    // Throttles the most interfering attempts until they account for half of the total
    // interference; the next response throttles more if that didn't help.
    double covered = 0.0;
    for (RunningAttempt *attempt : attempts) {
        if (covered >= total / 2)
            return;
        covered += interferenceOf(*attempt);
        throttle(pass, *attempt, m_settings.interference.throttlePercent,
                 "latency-critical tasks beside it are slowed down");
    }
}

void InformedScheduler::evictMostInterfering(Pass &pass, WorkerSlot worker)
{
    RunningAttempt *mostInterfering = nullptr;
    for (RunningAttempt *attempt : m_fleet.attempts().onWorker(worker)) {
        if (!attempt->isEvictable())
            continue;
        if (!mostInterfering || interferenceOf(*attempt) > interferenceOf(*mostInterfering))
            mostInterfering = attempt;
    }
    if (mostInterfering)
        evict(pass, *mostInterfering,
              "throttling didn't relieve the latency-critical tasks beside it");
}

void InformedScheduler::unthrottleLeastInterfering(Pass &pass, WorkerSlot worker)
{
    std::vector<RunningAttempt *> throttled;
    for (RunningAttempt *attempt : m_fleet.attempts().onWorker(worker)) {
        if (attempt->throttlePercent != unlimitedPercent)
            throttled.push_back(attempt);
    }
    const auto interferesLess = [this](const RunningAttempt *left, const RunningAttempt *right) {
        return interferenceOf(*left) < interferenceOf(*right);
    };
    std::stable_sort(throttled.begin(), throttled.end(), interferesLess);
    // Lifts half of the limits at a time, so that only a few attempts must be throttled again if
    // the slowdown returns.
    throttled.resize((throttled.size() + 1) / 2);
    for (RunningAttempt *attempt : throttled)
        throttle(pass, *attempt, unlimitedPercent, "the worker has been calm");
}

void InformedScheduler::evict(Pass &pass, RunningAttempt &attempt, std::string reason)
{
    m_fleet.markStopping(attempt);
    pass.decisions.emplace_back(
        EvictDecision { attempt.attempt, m_fleet.idOf(attempt.worker), std::move(reason) });
}

void InformedScheduler::throttle(Pass &pass, RunningAttempt &attempt, int percent,
                                 std::string reason)
{
    attempt.throttlePercent = percent;
    pass.decisions.emplace_back(ThrottleDecision { attempt.attempt, m_fleet.idOf(attempt.worker),
                                                   percent, std::move(reason) });
}

double InformedScheduler::interferenceOf(const RunningAttempt &attempt) const
{
    const double coefficient
        = m_interference.interferenceCoefficient(attempt.classIndex) + baseCoefficient;
    return coefficient * static_cast<double>(std::max<std::int64_t>(1, attempt.used.milliCores));
}

} // namespace Placement
