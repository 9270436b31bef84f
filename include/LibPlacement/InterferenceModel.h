#pragma once

#include <LibPlacement/ClassTable.h>
#include <LibPlacement/RateLimiter.h>
#include <LibPlacement/SchedulerSettings.h>
#include <LibPlacement/WorkerSlot.h>

#include <compare>
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
    /// Learns from one observation what each batch class beside it contributes. \p parts holds the
    /// part of the worker's processors that each class uses, by class index.
    void blame(WorkerSlot worker, double slowdown, const std::vector<double> &parts);
    /// A batch task that will use \p part of the worker is placed there.
    void expect(WorkerSlot worker, ClassIndex batchClass, double part);

    /// 1 if nothing is known.
    double expectedSlowdown(WorkerSlot worker, ClassIndex taskClass, Core::Instant now) const;
    /// The worst smoothed slowdown among recently observed classes; 1 if there is none.
    double worstSlowdown(WorkerSlot worker, Core::Instant now) const;
    bool isUnderPressure(WorkerSlot worker, Core::Instant now) const;
    /// The slowdown that a batch class would add if it used a whole worker; never negative.
    double noise(ClassIndex batchClass) const;
    /// The slowdown that the batch work on the worker is expected to add.
    double predictedPressure(WorkerSlot worker) const;
    /// True if adding \p part of a worker in use by \p batchClass should leave the worker calm.
    bool isHarmless(WorkerSlot worker, ClassIndex batchClass, double part) const;
    /// True if the class is known to disturb much less than the noisiest one.
    bool isQuiet(ClassIndex batchClass) const;

    /// At most \p limit workers for which nextStep() is to be asked now. The limit bounds the cost
    /// of a call however many workers are under pressure.
    std::vector<WorkerSlot> takeDue(Core::Instant now, std::size_t limit);
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
        double predictedPressure = 0.0;
        Core::Instant nextActionAt = Core::Instant::min();
        std::optional<Core::Instant> calmSince;
        bool isWatched = false;
        RateLimiter evictions;
    };

    struct Watch
    {
        Core::Instant dueAt;
        WorkerSlot worker = 0;

        auto operator<=>(const Watch &) const = default;
    };

    WorkerState &stateFor(WorkerSlot worker);
    const WorkerState *stateOf(WorkerSlot worker) const;
    void watch(WorkerSlot worker, Core::Instant dueAt);
    PressureStep stepUnderPressure(WorkerState &state, Core::Instant now,
                                   const PressureOptions &options);
    PressureStep stepWhenCalm(WorkerState &state, Core::Instant now,
                              const PressureOptions &options);
    bool takeEviction(WorkerState &state, Core::Instant now);

    InterferenceSettings m_settings;
    RateLimiter m_domainEvictions;
    std::vector<WorkerState> m_workers;
    std::vector<double> m_noise;
    /// What slowdown is there without any batch work; below zero if some of it disturbs nobody.
    double m_baseSlowdown = 0.0;
    std::set<Watch> m_watches;
};

} // namespace Placement
