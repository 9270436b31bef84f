#include <LibPlacement/InterferenceModel.h>

#include <algorithm>

namespace Placement {

namespace {

constexpr double undisturbed = 1.0;
constexpr double noiseSmoothing = 0.02;
/// One wild measurement must not outweigh the ones before it.
constexpr double largestObservation = 10.0;

} // namespace

InterferenceModel::InterferenceModel(const InterferenceSettings &settings)
    : m_settings(settings)
    , m_domainEvictions(settings.evictionIntervalPerDomain, settings.evictionBurstPerDomain)
{
}

void InterferenceModel::observe(WorkerSlot worker, ClassIndex taskClass, double slowdown,
                                Core::Instant now)
{
    if (worker >= m_workers.size()) {
        const RateLimiter evictions(m_settings.evictionIntervalPerWorker, 1);
        m_workers.resize(worker + 1, WorkerState { {}, Core::Instant::min(), {}, evictions });
    }
    const double observed = std::clamp(slowdown, undisturbed, largestObservation);
    std::vector<ClassState> &classes = m_workers[worker].classes;
    const auto isClass = [&](const ClassState &state) { return state.taskClass == taskClass; };
    auto state = std::find_if(classes.begin(), classes.end(), isClass);
    if (state == classes.end())
        state = classes.insert(classes.end(), ClassState { taskClass, undisturbed, now });
    state->slowdown += m_settings.smoothing * (observed - state->slowdown);
    state->observedAt = now;
    if (state->slowdown > m_settings.alarmSlowdown)
        m_watched.insert(worker);
}

void InterferenceModel::blame(ClassIndex batchClass, double slowdown, double part)
{
    if (batchClass >= m_noise.size())
        m_noise.resize(batchClass + 1, undisturbed);
    const double observed = std::clamp(slowdown, undisturbed, largestObservation);
    const double weight = noiseSmoothing * std::clamp(part, 0.0, 1.0);
    m_noise[batchClass] += weight * (observed - m_noise[batchClass]);
}

double InterferenceModel::expectedSlowdown(WorkerSlot worker, ClassIndex taskClass,
                                           Core::Instant now) const
{
    const WorkerState *state = stateOf(worker);
    if (!state)
        return undisturbed;
    for (const ClassState &seen : state->classes) {
        if (seen.taskClass == taskClass && now - seen.observedAt <= m_settings.observationLifetime)
            return seen.slowdown;
    }
    return worstSlowdown(worker, now);
}

double InterferenceModel::worstSlowdown(WorkerSlot worker, Core::Instant now) const
{
    double worst = undisturbed;
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

double InterferenceModel::noise(ClassIndex batchClass) const
{
    return batchClass < m_noise.size() ? m_noise[batchClass] : undisturbed;
}

PressureStep InterferenceModel::nextStep(WorkerSlot worker, Core::Instant now,
                                         const PressureOptions &options)
{
    if (worker >= m_workers.size())
        return PressureStep::None;
    WorkerState &state = m_workers[worker];
    const double worst = worstSlowdown(worker, now);
    if (worst > m_settings.alarmSlowdown)
        return stepUnderPressure(state, now, options);
    if (worst >= m_settings.calmSlowdown) {
        state.calmSince.reset();
        return PressureStep::None;
    }
    if (!options.canRelax) {
        m_watched.erase(worker);
        state.calmSince.reset();
        return PressureStep::None;
    }
    return stepWhenCalm(state, now, options);
}

const InterferenceModel::WorkerState *InterferenceModel::stateOf(WorkerSlot worker) const
{
    return worker < m_workers.size() ? &m_workers[worker] : nullptr;
}

PressureStep InterferenceModel::stepUnderPressure(WorkerState &state, Core::Instant now,
                                                  const PressureOptions &options)
{
    state.calmSince.reset();
    if (now < state.nextActionAt)
        return PressureStep::None;
    PressureStep step = PressureStep::None;
    if (options.canThrottle)
        step = PressureStep::Throttle;
    else if (options.canEvict && takeEviction(state, now))
        step = PressureStep::Evict;
    if (step != PressureStep::None)
        state.nextActionAt = now + m_settings.settleTime;
    return step;
}

PressureStep InterferenceModel::stepWhenCalm(WorkerState &state, Core::Instant now,
                                             const PressureOptions &options)
{
    if (!state.calmSince)
        state.calmSince = now;
    if (!options.canRelax || now - *state.calmSince < m_settings.calmTime)
        return PressureStep::None;
    // One limit at a time: the next one waits for another calm period.
    state.calmSince = now;
    return PressureStep::Relax;
}

bool InterferenceModel::takeEviction(WorkerState &state, Core::Instant now)
{
    if (!state.evictions.isReady(now) || !m_domainEvictions.isReady(now))
        return false;
    state.evictions.tryTake(now);
    return m_domainEvictions.tryTake(now);
}

} // namespace Placement
