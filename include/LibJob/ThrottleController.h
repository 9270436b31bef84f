#pragma once

#include <LibCore/Time.h>
#include <LibJob/LoadPredictor.h>
#include <LibJob/SlowdownModel.h>
#include <LibJob/TaskName.h>

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace Jobs {

/// A running task, as seen by the throttling of best-effort tasks on its worker.
struct ColocatedTask
{
    TaskName name;
    ImageIndex image = 0;
    bool isBestEffort = false;
    /// Requested processors as a fraction of the worker's.
    double share = 0;
    /// Recently used processors as a fraction of the worker's; 0 for tasks that aren't best-effort.
    double usedShare = 0;
    /// Tail latency of a serving task divided by its target; 0 if the task isn't serving yet or has
    /// no target.
    double tailRatio = 0;
    /// When the tail latency rose above the target; the epoch while it is within the target.
    Core::Instant overTargetSince = {};
    /// When the worker reported these values.
    Core::Instant reportedAt = {};
    /// The throttle in force: percentage of the requested processors that the task may use.
    int percent = 100;

    bool operator==(const ColocatedTask &) const = default;
};

/// Decides how far best-effort tasks are throttled so that the serving tasks on the same worker
/// keep their tail latencies below their targets.
///
/// Best-effort tasks may be numerous enough to use all processor time that serving tasks leave.
/// Since the load of serving tasks fluctuates, best-effort tasks that interfere with them are
/// throttled and released again rather than stopped.
class ThrottleController
{
public:
    /// Updates the models from the report of one worker. \p endedUses are best-effort tasks that
    /// have ended recently and still influence the reported tail latencies.
    void observe(const std::vector<ColocatedTask> &colocatedTasks,
                 const std::vector<BestEffortUse> &endedUses, Core::Instant now);
    /// Returns the throttle percentage for each entry of \p colocatedTasks, by index; 100 for tasks
    /// that aren't best-effort. Tasks that interfere least are allotted processors first.
    std::vector<int> throttlePercents(const std::vector<ColocatedTask> &colocatedTasks,
                                      Core::Instant now) const;

    /// Returns the predicted load of the tasks of a serving job at \p when.
    LoadEstimate predictedLoad(const JobId &job, ImageIndex image, Core::Instant when) const;
    void updatePriors() { m_slowdownModel.updatePriors(); }
    const SlowdownModel &slowdownModel() const { return m_slowdownModel; }
    void forget(const JobId &job) { m_loadPredictors.erase(job); }

private:
    /// The slowdown that one serving task can still tolerate.
    struct SlowdownBudget
    {
        ImageIndex image = 0;
        /// Additional slowdown that best-effort tasks may cause; 0 allows none.
        double slowdown = 0;
    };

    void observeServing(const ColocatedTask &serving,
                        const std::vector<BestEffortUse> &bestEffortUses, Core::Instant now);
    /// Returns the ratio of a serving task's observed utilization to the predicted one, at least 1
    /// and at most `maxExcess`; 1 while the tail latency is below its target.
    double excessOverPrediction(const ColocatedTask &serving,
                                const std::vector<BestEffortUse> &bestEffortUses) const;
    std::vector<SlowdownBudget> slowdownBudgets(const std::vector<ColocatedTask> &colocatedTasks,
                                                Core::Instant now) const;

    SlowdownModel m_slowdownModel;
    std::unordered_map<JobId, LoadPredictor> m_loadPredictors;
};

} // namespace Jobs
