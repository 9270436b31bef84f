#include "PhysicalFleet.h"

#include <algorithm>
#include <cmath>

namespace PlacementBenchmark {

namespace {

/// Below this bandwidth nobody is disturbed.
constexpr double quietBandwidth = 0.25;
constexpr double slowdownPerBandwidth = 1.5;
/// Latency suffers more than throughput when the processors are too few.
constexpr double slowdownPerOverload = 3.0;
constexpr double waveIntensity = 1.6;
constexpr int reportPeriodSeconds = 10;
constexpr std::int64_t milliCoresPerCore = 1000;

double wantedCores(const PhysicalAttempt &attempt)
{
    const double limit = attempt.declaredCores * attempt.throttlePercent / 100.0;
    const bool isThrottled = attempt.throttlePercent < 100;
    return isThrottled ? std::min(attempt.profile->cores, limit) : attempt.profile->cores;
}

} // namespace

std::size_t PhysicalFleet::Key::operator()(const Task::AttemptId &attempt) const
{
    return std::hash<Core::TaskId>()(attempt.task) + attempt.number;
}

PhysicalFleet::PhysicalFleet(const Trace &trace, std::uint64_t seed)
    : m_byWorker(trace.workers.size())
    , m_random(seed)
{
    m_capacities.reserve(trace.workers.size());
    for (const Platform::VmEntry &worker : trace.workers)
        m_capacities.push_back(static_cast<double>(worker.capacity.milliCores)
                               / static_cast<double>(milliCoresPerCore));
}

void PhysicalFleet::add(const PhysicalAttempt &attempt)
{
    PhysicalAttempt &added = m_attempts.try_emplace(attempt.id, attempt).first->second;
    added.lastSample.attempt = attempt.id;
    m_byWorker[attempt.worker].push_back(&added);
}

void PhysicalFleet::remove(const Task::AttemptId &attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end())
        return;
    std::erase(m_byWorker[found->second.worker], &found->second);
    m_attempts.erase(found);
}

PhysicalAttempt *PhysicalFleet::find(const Task::AttemptId &attempt)
{
    const auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? nullptr : &found->second;
}

StepOutcome PhysicalFleet::step(Core::Instant now, double seconds)
{
    StepOutcome outcome;
    const bool isWave = isNoisyWave(now);
    for (std::size_t worker = 0; worker < m_byWorker.size(); ++worker)
        stepWorker(worker, isWave, seconds, outcome);
    return outcome;
}

void PhysicalFleet::stepWorker(std::size_t worker, bool isWave, double seconds,
                               StepOutcome &outcome)
{
    const double capacity = m_capacities[worker];
    double wanted = 0.0;
    for (const PhysicalAttempt *attempt : m_byWorker[worker])
        wanted += wantedCores(*attempt);
    const double granted = wanted > capacity ? capacity / wanted : 1.0;
    double bandwidth = 0.0;
    for (PhysicalAttempt *attempt : m_byWorker[worker]) {
        attempt->usedCores = wantedCores(*attempt) * granted;
        const double intensity = attempt->profile->intensity;
        const bool isNoisy = isWave && intensity > 1.0;
        bandwidth += attempt->usedCores * intensity * (isNoisy ? waveIntensity : 1.0) / capacity;
    }
    const double disturbance = std::max(0.0, bandwidth - quietBandwidth);
    const double overload = 1.0 / granted - 1.0;
    for (PhysicalAttempt *attempt : m_byWorker[worker]) {
        const TaskProfile &profile = *attempt->profile;
        attempt->slowdown = 1.0 + profile.sensitivity * slowdownPerBandwidth * disturbance
            + slowdownPerOverload * overload;
        if (profile.isLatencyCritical || attempt->isStopping)
            continue;
        const double done
            = std::min(attempt->workLeft, attempt->usedCores * seconds / (1.0 + disturbance / 4.0));
        attempt->workLeft -= done;
        outcome.workDone += done;
        if (attempt->workLeft <= 0.0 && !profile.isBroken)
            outcome.finished.push_back(attempt->id);
    }
}

std::vector<Task::AttemptReport> PhysicalFleet::reportsDue(Core::Instant now)
{
    std::vector<Task::AttemptReport> reports;
    const auto phase = static_cast<std::size_t>(secondsOf(now)) % reportPeriodSeconds;
    for (std::vector<PhysicalAttempt *> &attempts : m_byWorker) {
        for (PhysicalAttempt *attempt : attempts) {
            if (attempt->task % reportPeriodSeconds != phase)
                continue;
            const double noise = m_random.uniform(0.85, 1.15);
            Task::AttemptReport sample = attempt->lastSample;
            sample.slowdown = std::max(1.0, attempt->slowdown * noise);
            sample.used = { static_cast<std::int64_t>(attempt->usedCores * milliCoresPerCore),
                            static_cast<std::int64_t>(attempt->profile->mebibytes), 0 };
            // The first report would have nothing older to say.
            if (attempt->lastSample.used != Core::Resources {})
                reports.push_back(attempt->lastSample);
            attempt->lastSample = sample;
        }
    }
    return reports;
}

std::vector<double> PhysicalFleet::latencyCriticalSlowdowns() const
{
    std::vector<double> slowdowns;
    for (const auto &attempts : m_byWorker) {
        for (const PhysicalAttempt *attempt : attempts) {
            if (attempt->profile->isLatencyCritical)
                slowdowns.push_back(attempt->slowdown);
        }
    }
    return slowdowns;
}

} // namespace PlacementBenchmark
