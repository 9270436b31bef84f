#include <LibPlacement/InterferenceModel.h>

#include <algorithm>
#include <utility>

namespace Placement {

namespace {

constexpr double undisturbed = 1.0;
constexpr Core::Duration checkInterval = std::chrono::seconds(1);
constexpr double noiseSmoothing = 0.01;
constexpr double initialNoise = 0.5;
constexpr double basePart = 0.3;
constexpr double quietPart = 0.5;
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
    const double observed = std::clamp(slowdown, undisturbed, largestObservation);
    std::vector<ClassState> &classes = stateFor(worker).classes;
    const auto isClass = [&](const ClassState &state) { return state.taskClass == taskClass; };
    auto state = std::find_if(classes.begin(), classes.end(), isClass);
    if (state == classes.end())
        state = classes.insert(classes.end(), ClassState { taskClass, undisturbed, now });
    state->slowdown += m_settings.smoothing * (observed - state->slowdown);
    state->observedAt = now;
    if (state->slowdown > m_settings.alarmSlowdown)
        watch(worker, now);
}

void InterferenceModel::blame(WorkerSlot worker, double slowdown, const std::vector<double> &parts)
{
    if (parts.size() > m_noise.size())
        m_noise.resize(parts.size(), initialNoise);
    // A normalized least mean squares step: each class takes its part of the prediction error.
    double pressure = 0.0;
    double power = basePart * basePart;
    for (ClassIndex batchClass = 0; batchClass < parts.size(); ++batchClass) {
        pressure += m_noise[batchClass] * parts[batchClass];
        power += parts[batchClass] * parts[batchClass];
    }
    const double observed = std::clamp(slowdown, undisturbed, largestObservation) - undisturbed;
    const double predicted = m_baseSlowdown * basePart + pressure;
    const double step = noiseSmoothing * (observed - predicted) / power;
    m_baseSlowdown += step * basePart;
    for (ClassIndex batchClass = 0; batchClass < parts.size(); ++batchClass)
        m_noise[batchClass] = std::max(0.0, m_noise[batchClass] + step * parts[batchClass]);
    // What is there without batch work is left out: keeping batch work away wouldn't cure it.
    stateFor(worker).predictedPressure = pressure;
}

void InterferenceModel::expect(WorkerSlot worker, ClassIndex batchClass, double part)
{
    stateFor(worker).predictedPressure += noise(batchClass) * part;
}

double InterferenceModel::predictedPressure(WorkerSlot worker) const
{
    const WorkerState *state = stateOf(worker);
    return state ? state->predictedPressure : 0.0;
}

bool InterferenceModel::isHarmless(WorkerSlot worker, ClassIndex batchClass, double part) const
{
    const double expected = predictedPressure(worker) + noise(batchClass) * part;
    return undisturbed + expected <= m_settings.calmSlowdown;
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
    return batchClass < m_noise.size() ? m_noise[batchClass] : initialNoise;
}

bool InterferenceModel::isQuiet(ClassIndex batchClass) const
{
    if (m_noise.empty())
        return false;
    return noise(batchClass) < quietPart * *std::max_element(m_noise.begin(), m_noise.end());
}

std::vector<WorkerSlot> InterferenceModel::takeDue(Core::Instant now, std::size_t limit)
{
    std::vector<WorkerSlot> due;
    while (due.size() < limit && !m_watches.empty() && m_watches.begin()->dueAt <= now) {
        const WorkerSlot worker = m_watches.begin()->worker;
        m_watches.erase(m_watches.begin());
        m_workers[worker].isWatched = false;
        due.push_back(worker);
    }
    return due;
}

PressureStep InterferenceModel::nextStep(WorkerSlot worker, Core::Instant now,
                                         const PressureOptions &options)
{
    if (worker >= m_workers.size())
        return PressureStep::None;
    WorkerState &state = m_workers[worker];
    const double worst = worstSlowdown(worker, now);
    if (worst >= m_settings.calmSlowdown || options.canRelax)
        watch(worker, now + checkInterval);
    if (worst > m_settings.alarmSlowdown)
        return stepUnderPressure(state, now, options);
    if (worst >= m_settings.calmSlowdown) {
        state.calmSince.reset();
        return PressureStep::None;
    }
    return stepWhenCalm(state, now, options);
}

void InterferenceModel::watch(WorkerSlot worker, Core::Instant dueAt)
{
    WorkerState &state = m_workers[worker];
    if (!std::exchange(state.isWatched, true))
        m_watches.insert({ dueAt, worker });
}

InterferenceModel::WorkerState &InterferenceModel::stateFor(WorkerSlot worker)
{
    if (worker >= m_workers.size()) {
        const RateLimiter evictions(m_settings.evictionIntervalPerWorker, 1);
        const WorkerState fresh { {}, 0.0, Core::Instant::min(), {}, false, evictions };
        m_workers.resize(worker + 1, fresh);
    }
    return m_workers[worker];
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
    if (!options.canRelax) {
        state.calmSince.reset();
        return PressureStep::None;
    }
    if (now - *state.calmSince < m_settings.calmTime)
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
