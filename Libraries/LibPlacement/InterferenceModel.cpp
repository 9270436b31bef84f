#include <LibPlacement/InterferenceModel.h>

#include <algorithm>
#include <utility>

namespace Placement {

namespace {

/// The slowdown of a task that runs alone.
constexpr double noSlowdown = 1.0;
/// The time between two checks of a worker that isn't calm or has throttled attempts.
constexpr Core::Duration checkInterval = std::chrono::seconds(1);
/// The step size of the least mean squares filter that learns the interference coefficients.
constexpr double coefficientLearningRate = 0.01;
/// The interference coefficient of a class before its first observation.
constexpr double initialCoefficient = 0.5;
/// The constant input of the filter that stands for the slowdown without batch work.
constexpr double biasInput = 0.3;
/// A class interferes little if its coefficient is below this fraction of the largest one.
constexpr double lowInterferenceFraction = 0.5;
/// Observed slowdowns are capped here, so that a single outlier can't outweigh earlier
/// observations.
constexpr double maximumObservation = 10.0;

} // namespace

InterferenceModel::InterferenceModel(const InterferenceSettings &settings)
    : m_settings(settings)
    , m_domainEvictionLimiter(settings.evictionIntervalPerDomain, settings.evictionBurstPerDomain)
{
}

void InterferenceModel::observe(WorkerSlot worker, ClassIndex taskClass, double slowdown,
                                Core::Instant now)
{
    const double observed = std::clamp(slowdown, noSlowdown, maximumObservation);
    std::vector<ClassState> &classes = stateFor(worker).classes;
    const auto isClass = [&](const ClassState &state) { return state.taskClass == taskClass; };
    auto state = std::find_if(classes.begin(), classes.end(), isClass);
    if (state == classes.end())
        state = classes.insert(classes.end(), ClassState { taskClass, noSlowdown, now });
    state->slowdown += m_settings.smoothing * (observed - state->slowdown);
    state->observedAt = now;
    if (state->slowdown > m_settings.alarmSlowdown)
        scheduleCheck(worker, now);
}

void InterferenceModel::attributeSlowdown(WorkerSlot worker, double slowdown,
                                          const std::vector<double> &cpuFractions)
{
    if (cpuFractions.size() > m_interferenceCoefficients.size())
        m_interferenceCoefficients.resize(cpuFractions.size(), initialCoefficient);
    // One step of a normalized least mean squares filter: the prediction error is distributed over
    // the classes in proportion to their CPU fractions.
    double addedSlowdown = 0.0;
    double power = biasInput * biasInput;
    for (ClassIndex batchClass = 0; batchClass < cpuFractions.size(); ++batchClass) {
        addedSlowdown += m_interferenceCoefficients[batchClass] * cpuFractions[batchClass];
        power += cpuFractions[batchClass] * cpuFractions[batchClass];
    }
    const double observed = std::clamp(slowdown, noSlowdown, maximumObservation) - noSlowdown;
    const double predicted = m_baseSlowdown * biasInput + addedSlowdown;
    const double step = coefficientLearningRate * (observed - predicted) / power;
    m_baseSlowdown += step * biasInput;
    for (ClassIndex batchClass = 0; batchClass < cpuFractions.size(); ++batchClass)
        m_interferenceCoefficients[batchClass] = std::max(
            0.0, m_interferenceCoefficients[batchClass] + step * cpuFractions[batchClass]);
    // Excludes the slowdown without batch work, since keeping batch work away wouldn't reduce it.
    stateFor(worker).predictedAddedSlowdown = addedSlowdown;
}

void InterferenceModel::recordPlacement(WorkerSlot worker, ClassIndex batchClass,
                                        double cpuFraction)
{
    stateFor(worker).predictedAddedSlowdown += interferenceCoefficient(batchClass) * cpuFraction;
}

double InterferenceModel::predictedAddedSlowdown(WorkerSlot worker) const
{
    const WorkerState *state = stateOf(worker);
    return state ? state->predictedAddedSlowdown : 0.0;
}

bool InterferenceModel::isSafeToPlace(WorkerSlot worker, ClassIndex batchClass,
                                      double cpuFraction) const
{
    const double expected
        = predictedAddedSlowdown(worker) + interferenceCoefficient(batchClass) * cpuFraction;
    return noSlowdown + expected <= m_settings.calmSlowdown;
}

double InterferenceModel::expectedSlowdown(WorkerSlot worker, ClassIndex taskClass,
                                           Core::Instant now) const
{
    const WorkerState *state = stateOf(worker);
    if (!state)
        return noSlowdown;
    for (const ClassState &seen : state->classes) {
        if (seen.taskClass == taskClass && now - seen.observedAt <= m_settings.observationLifetime)
            return seen.slowdown;
    }
    return worstSlowdown(worker, now);
}

double InterferenceModel::worstSlowdown(WorkerSlot worker, Core::Instant now) const
{
    double worst = noSlowdown;
    const WorkerState *state = stateOf(worker);
    if (!state)
        return worst;
    for (const ClassState &seen : state->classes) {
        if (now - seen.observedAt <= m_settings.observationLifetime)
            worst = std::max(worst, seen.slowdown);
    }
    return worst;
}

bool InterferenceModel::isUnderPressure(WorkerSlot worker, Core::Instant now) const
{
    return worstSlowdown(worker, now) > m_settings.alarmSlowdown;
}

double InterferenceModel::interferenceCoefficient(ClassIndex batchClass) const
{
    return batchClass < m_interferenceCoefficients.size() ? m_interferenceCoefficients[batchClass]
                                                          : initialCoefficient;
}

bool InterferenceModel::isLowInterference(ClassIndex batchClass) const
{
    if (m_interferenceCoefficients.empty())
        return false;
    return interferenceCoefficient(batchClass) < lowInterferenceFraction
        * *std::max_element(m_interferenceCoefficients.begin(), m_interferenceCoefficients.end());
}

std::vector<WorkerSlot> InterferenceModel::takeWorkersDue(Core::Instant now, std::size_t limit)
{
    std::vector<WorkerSlot> due;
    while (due.size() < limit && !m_scheduledChecks.empty()
           && m_scheduledChecks.begin()->dueAt <= now) {
        const WorkerSlot worker = m_scheduledChecks.begin()->worker;
        m_scheduledChecks.erase(m_scheduledChecks.begin());
        m_workers[worker].isCheckScheduled = false;
        due.push_back(worker);
    }
    return due;
}

PressureResponse InterferenceModel::nextResponse(WorkerSlot worker, Core::Instant now,
                                                 const PossibleResponses &possible)
{
    if (worker >= m_workers.size())
        return PressureResponse::None;
    WorkerState &state = m_workers[worker];
    const double worst = worstSlowdown(worker, now);
    if (worst >= m_settings.calmSlowdown || possible.canUnthrottle)
        scheduleCheck(worker, now + checkInterval);
    if (worst > m_settings.alarmSlowdown)
        return responseUnderPressure(state, now, possible);
    if (worst >= m_settings.calmSlowdown) {
        state.calmSince.reset();
        return PressureResponse::None;
    }
    return responseWhenCalm(state, now, possible);
}

void InterferenceModel::scheduleCheck(WorkerSlot worker, Core::Instant dueAt)
{
    WorkerState &state = m_workers[worker];
    if (!std::exchange(state.isCheckScheduled, true))
        m_scheduledChecks.insert({ dueAt, worker });
}

InterferenceModel::WorkerState &InterferenceModel::stateFor(WorkerSlot worker)
{
    if (worker >= m_workers.size()) {
        const RateLimiter evictionLimiter(m_settings.evictionIntervalPerWorker, 1);
        const WorkerState fresh { {}, 0.0, Core::Instant::min(), {}, false, evictionLimiter };
        m_workers.resize(worker + 1, fresh);
    }
    return m_workers[worker];
}

const InterferenceModel::WorkerState *InterferenceModel::stateOf(WorkerSlot worker) const
{
    return worker < m_workers.size() ? &m_workers[worker] : nullptr;
}

PressureResponse InterferenceModel::responseUnderPressure(WorkerState &state, Core::Instant now,
                                                          const PossibleResponses &possible)
{
    state.calmSince.reset();
    if (now < state.nextResponseAt)
        return PressureResponse::None;
    PressureResponse response = PressureResponse::None;
    if (possible.canThrottle)
        response = PressureResponse::Throttle;
    else if (possible.canEvict && tryAcquireEviction(state, now))
        response = PressureResponse::Evict;
    if (response != PressureResponse::None)
        state.nextResponseAt = now + m_settings.settleTime;
    return response;
}

PressureResponse InterferenceModel::responseWhenCalm(WorkerState &state, Core::Instant now,
                                                     const PossibleResponses &possible)
{
    if (!state.calmSince)
        state.calmSince = now;
    if (!possible.canUnthrottle) {
        state.calmSince.reset();
        return PressureResponse::None;
    }
    if (now - *state.calmSince < m_settings.calmTime)
        return PressureResponse::None;
    // Limits are lifted step by step: the next step waits for another calm time.
    state.calmSince = now;
    return PressureResponse::Unthrottle;
}

bool InterferenceModel::tryAcquireEviction(WorkerState &state, Core::Instant now)
{
    if (!state.evictionLimiter.isReady(now) || !m_domainEvictionLimiter.isReady(now))
        return false;
    state.evictionLimiter.tryAcquire(now);
    return m_domainEvictionLimiter.tryAcquire(now);
}

} // namespace Placement
