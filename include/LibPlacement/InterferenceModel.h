#pragma once

#include <LibPlacement/ClassTable.h>
#include <LibPlacement/RateLimiter.h>
#include <LibPlacement/SchedulerSettings.h>
#include <LibPlacement/WorkerSlot.h>

#include <optional>
#include <set>
#include <vector>

namespace Placement {

/// What to do next on a worker whose latency-critical tasks are, or were, slowed down.
enum class PressureStep {
    None,
    /// Limit the processors of some batch attempts.
    Throttle,
    /// Everything is limited and it didn't help: evict one batch attempt.
    Evict,
    /// The worker has been calm for long: lift a limit.
    Relax,
};

/// What can still be done on a worker.
struct PressureOptions
{
    bool canThrottle = false;
    bool canEvict = false;
    bool canRelax = false;

    bool operator==(const PressureOptions &) const = default;
};

/// Learns the slowdown of each task class on each worker from lagging observations, and which batch
/// classes are to blame, and answers pressure step by step.
///
/// After each action it waits until the action can have shown in the measurements. Two thresholds
/// and a calm time keep it from oscillating; evictions have budgets besides.
class InterferenceModel
{
public:
    explicit InterferenceModel(const InterferenceSettings &settings);

    /// A latency-critical task of \p taskClass was seen with \p slowdown on \p worker.
    void observe(WorkerSlot worker, ClassIndex taskClass, double slowdown, Core::Instant now);
    /// A batch task of \p batchClass ran beside an observed one, using \p part of the worker.
    void blame(ClassIndex batchClass, double slowdown, double part);

    /// 1 if nothing is known.
    double expectedSlowdown(WorkerSlot worker, ClassIndex taskClass, Core::Instant now) const;
    /// The worst smoothed slowdown among recently observed classes; 1 if there is none.
    double worstSlowdown(WorkerSlot worker, Core::Instant now) const;
    bool isUnderPressure(WorkerSlot worker, Core::Instant now) const;
    /// How much slowdown goes with the presence of a batch class; 1 if nothing is known.
    double noise(ClassIndex batchClass) const;

    /// The workers for which nextStep() may answer something.
    const std::set<WorkerSlot> &watched() const { return m_watched; }
    PressureStep nextStep(WorkerSlot worker, Core::Instant now, const PressureOptions &options);

private:
    struct ClassState
    {
        ClassIndex taskClass = 0;
        double slowdown = 1.0;
        Core::Instant observedAt;
    };

    struct WorkerState
    {
        std::vector<ClassState> classes;
        Core::Instant nextActionAt = Core::Instant::min();
        std::optional<Core::Instant> calmSince;
        RateLimiter evictions;
    };

    const WorkerState *stateOf(WorkerSlot worker) const;
    PressureStep stepUnderPressure(WorkerState &state, Core::Instant now,
                                   const PressureOptions &options);
    PressureStep stepWhenCalm(WorkerState &state, Core::Instant now,
                              const PressureOptions &options);
    bool takeEviction(WorkerState &state, Core::Instant now);

    InterferenceSettings m_settings;
    RateLimiter m_domainEvictions;
    std::vector<WorkerState> m_workers;
    std::vector<double> m_noise;
    std::set<WorkerSlot> m_watched;
};

} // namespace Placement
