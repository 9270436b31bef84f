#include <LibPlacement/InformedScheduler.h>

#include <algorithm>
#include <utility>

namespace Placement {

namespace {

/// What a class without known noise is blamed for, so that larger attempts still come first.
constexpr double baseNoise = 0.05;
constexpr std::size_t reliefsPerCall = 4;
constexpr int unlimitedPercent = 100;

} // namespace

void InformedScheduler::updateHealth(Pass &pass)
{
    for (const WorkerSlot worker : m_health.update(pass.now, m_fleet.listedWorkers())) {
        m_fleet.setCondition(worker, m_health.condition(worker));
        if (!m_fleet.isOffered(worker))
            requeueClaimsOn(worker);
    }
}

void InformedScheduler::holdBadJobs(Pass &pass)
{
    for (const Core::TaskId &task : std::set<Core::TaskId>(m_failedBefore)) {
        if (!m_health.isJobBad(task, m_fleet.listedWorkers()))
            continue;
        const std::string failures = std::to_string(m_health.failuresOfJob(task));
        const std::string reason = "failed on " + failures + " workers where other work succeeds";
        removeWaiting(task);
        m_health.forgetHeld(task);
        m_held[task] = reason;
        pass.decisions.emplace_back(HoldDecision { task, reason });
    }
}

void InformedScheduler::evacuate(Pass &pass)
{
    while (!m_toEvacuate.empty() && m_evacuations.isReady(pass.now)) {
        const Task::AttemptId next = m_toEvacuate.front();
        m_toEvacuate.pop_front();
        RunningAttempt *attempt = m_fleet.attempts().find(next);
        if (!attempt || attempt->isStopping || isAllowedHere(attempt->spec.taskClass))
            continue;
        m_evacuations.tryTake(pass.now);
        evict(pass, *attempt, "its class may not run in this failure domain now");
    }
}

void InformedScheduler::relieveInterference(Pass &pass)
{
    for (const WorkerSlot worker : m_interference.takeDue(pass.now, reliefsPerCall))
        relieve(pass, worker);
}

void InformedScheduler::relieve(Pass &pass, WorkerSlot worker)
{
    PressureOptions options;
    for (const RunningAttempt *attempt : m_fleet.attempts().onWorker(worker)) {
        const bool isThrottled = attempt->throttlePercent != unlimitedPercent;
        options.canRelax = options.canRelax || isThrottled;
        options.canEvict = options.canEvict || attempt->isEvictable();
        options.canThrottle = options.canThrottle || (attempt->isEvictable() && !isThrottled);
    }
    switch (m_interference.nextStep(worker, pass.now, options)) {
    case PressureStep::None:
        return;
    case PressureStep::Throttle:
        return throttleNoisiest(pass, worker);
    case PressureStep::Evict:
        return evictNoisiest(pass, worker);
    case PressureStep::Relax:
        return relaxQuietest(pass, worker);
    }
}

void InformedScheduler::throttleNoisiest(Pass &pass, WorkerSlot worker)
{
    std::vector<RunningAttempt *> attempts;
    double total = 0.0;
    for (RunningAttempt *attempt : m_fleet.attempts().onWorker(worker)) {
        if (!attempt->isEvictable() || attempt->throttlePercent != unlimitedPercent)
            continue;
        attempts.push_back(attempt);
        total += disturbance(*attempt);
    }
    const auto isNoisier = [this](const RunningAttempt *left, const RunningAttempt *right) {
        return disturbance(*left) > disturbance(*right);
    };
    std::stable_sort(attempts.begin(), attempts.end(), isNoisier);
    // At most the half that disturbs most; the next step takes more if that didn't help.
    double covered = 0.0;
    for (RunningAttempt *attempt : attempts) {
        if (covered >= total / 2)
            return;
        covered += disturbance(*attempt);
        throttle(pass, *attempt, m_settings.interference.throttlePercent,
                 "latency-critical tasks beside it are slowed down");
    }
}

void InformedScheduler::evictNoisiest(Pass &pass, WorkerSlot worker)
{
    RunningAttempt *noisiest = nullptr;
    for (RunningAttempt *attempt : m_fleet.attempts().onWorker(worker)) {
        if (!attempt->isEvictable())
            continue;
        if (!noisiest || disturbance(*attempt) > disturbance(*noisiest))
            noisiest = attempt;
    }
    if (noisiest)
        evict(pass, *noisiest, "throttling didn't relieve the latency-critical tasks beside it");
}

void InformedScheduler::relaxQuietest(Pass &pass, WorkerSlot worker)
{
    std::vector<RunningAttempt *> throttled;
    for (RunningAttempt *attempt : m_fleet.attempts().onWorker(worker)) {
        if (attempt->throttlePercent != unlimitedPercent)
            throttled.push_back(attempt);
    }
    const auto isQuieter = [this](const RunningAttempt *left, const RunningAttempt *right) {
        return disturbance(*left) < disturbance(*right);
    };
    std::stable_sort(throttled.begin(), throttled.end(), isQuieter);
    // Half of them at a time, so that a relapse throttles few again.
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

double InformedScheduler::disturbance(const RunningAttempt &attempt) const
{
    const double noise = m_interference.noise(attempt.classIndex) + baseNoise;
    return noise * static_cast<double>(std::max<std::int64_t>(1, attempt.used.milliCores));
}

} // namespace Placement
