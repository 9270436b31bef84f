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

/// The next action on a worker whose latency-critical tasks are, or were, slowed down.
enum class PressureResponse {
    None,
    /// Limit the CPU of some batch attempts.
    Throttle,
    /// Evict one batch attempt, because throttling all of them didn't help.
    Evict,
    /// Lift some limits, because the slowdown has been low for the calm time.
    Unthrottle,
};

/// The responses that are still possible on a worker.
struct PossibleResponses
{
    bool canThrottle = false;
    bool canEvict = false;
    bool canUnthrottle = false;

    bool operator==(const PossibleResponses &) const = default;
};

/// Learns from delayed observations how much each latency-critical class is slowed down on each
/// worker and how much slowdown each batch class causes, and picks the response to a slowdown.
///
/// A worker is under pressure while a recently observed class is slowed down beyond the alarm
/// threshold. Three rules prevent oscillation: each response to pressure is given the settle time
/// to show in the observations; limits are lifted only after the slowdown has stayed below the
/// lower, calm threshold for the calm time; evictions are rate limited per worker and per failure
/// domain.
class InterferenceModel
{
public:
    explicit InterferenceModel(const InterferenceSettings &settings);

    /// Records that a latency-critical task of \p taskClass runs on \p worker with \p slowdown,
    /// where 1 means the speed of the task running alone.
    void observe(WorkerSlot worker, ClassIndex taskClass, double slowdown, Core::Instant now);
    /// Learns from the observed \p slowdown of one latency-critical task how much each batch class
    /// on the worker contributes. \p cpuFractions holds the fraction of the worker's CPU that each
    /// batch class uses, by class index.
    void attributeSlowdown(WorkerSlot worker, double slowdown,
                           const std::vector<double> &cpuFractions);
    /// Adds the interference of a batch task that is placed on the worker and will use
    /// \p cpuFraction of its CPU.
    void recordPlacement(WorkerSlot worker, ClassIndex batchClass, double cpuFraction);

    /// The smoothed slowdown of the class on the worker. Without a recent observation of the class:
    /// the worst slowdown on the worker, or 1 if there is none.
    double expectedSlowdown(WorkerSlot worker, ClassIndex taskClass, Core::Instant now) const;
    /// The worst smoothed slowdown among recently observed classes; 1 if there is none.
    double worstSlowdown(WorkerSlot worker, Core::Instant now) const;
    bool isUnderPressure(WorkerSlot worker, Core::Instant now) const;
    /// The slowdown that a batch class adds if it uses all CPU of a worker; never negative.
    double interferenceCoefficient(ClassIndex batchClass) const;
    /// The slowdown that the batch attempts on the worker are expected to add.
    double predictedAddedSlowdown(WorkerSlot worker) const;
    /// True if the predicted slowdown stays within the calm threshold when \p batchClass uses
    /// another \p cpuFraction of the worker's CPU.
    bool isSafeToPlace(WorkerSlot worker, ClassIndex batchClass, double cpuFraction) const;
    /// True if the class is known to interfere much less than the most interfering class.
    bool isLowInterference(ClassIndex batchClass) const;

    /// Removes and returns at most \p limit workers whose check is due; the caller then calls
    /// nextResponse() for each. The limit bounds the cost of a scheduling pass however many workers
    /// are under pressure.
    std::vector<WorkerSlot> takeWorkersDue(Core::Instant now, std::size_t limit);
    /// The response to carry out on the worker now. Schedules the worker's next check as long as
    /// one may be needed.
    PressureResponse nextResponse(WorkerSlot worker, Core::Instant now,
                                  const PossibleResponses &possible);

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
        double predictedAddedSlowdown = 0.0;
        Core::Instant nextResponseAt = Core::Instant::min();
        std::optional<Core::Instant> calmSince;
        bool isCheckScheduled = false;
        RateLimiter evictionLimiter;
    };

    struct ScheduledCheck
    {
        Core::Instant dueAt;
        WorkerSlot worker = 0;

        auto operator<=>(const ScheduledCheck &) const = default;
    };

    WorkerState &stateFor(WorkerSlot worker);
    const WorkerState *stateOf(WorkerSlot worker) const;
    void scheduleCheck(WorkerSlot worker, Core::Instant dueAt);
    PressureResponse responseUnderPressure(WorkerState &state, Core::Instant now,
                                           const PossibleResponses &possible);
    PressureResponse responseWhenCalm(WorkerState &state, Core::Instant now,
                                      const PossibleResponses &possible);
    bool tryAcquireEviction(WorkerState &state, Core::Instant now);

    InterferenceSettings m_settings;
    RateLimiter m_domainEvictionLimiter;
    std::vector<WorkerState> m_workers;
    std::vector<double> m_interferenceCoefficients;
    /// The weight of the bias input: their product is the learned slowdown beyond 1 without any
    /// batch work. It may become negative if some batch work causes no slowdown.
    double m_baseSlowdown = 0.0;
    std::set<ScheduledCheck> m_scheduledChecks;
};

} // namespace Placement
