#include <LibJob/ThrottleController.h>

#include <algorithm>
#include <map>

namespace Jobs {

using std::chrono::milliseconds;

/// A reported tail latency is the mean over twice this time, so it describes the load this long
/// ago.
static constexpr Core::Duration reportDelay = milliseconds(250);
/// Time until a new percentage has been sent, takes effect and is reviewed.
static constexpr Core::Duration reactionTime = milliseconds(300);
/// Allowed slowdown as a multiple of the slowdown at which the target is just met.
static constexpr double allowedSlowdown = 1.3;
/// Best-effort tasks are throttled to 0 percent beside a serving task that has been above its
/// target for this long.
static constexpr Core::Duration maxTimeOverTarget = milliseconds(1500);
/// Above this utilization a tail latency tells little about the load.
static constexpr double saturatedUtilization = 0.95;
/// Upper bound of the ratio of observed to predicted utilization.
static constexpr double maxExcess = 1.5;
/// For lower ratios of tail latency to target, the prediction isn't corrected.
static constexpr double minCorrectedTailRatio = 1.0;
static constexpr int fullPercent = 100;
/// Throttle percentages are multiples of this.
static constexpr int percentGranularity = 10;

LoadEstimate ThrottleController::predictedLoad(const JobId &job, ImageIndex image,
                                               Core::Instant when) const
{
    const double meanLoad = m_slowdownModel.meanLoad(image);
    const auto found = m_loadPredictors.find(job);
    return found == m_loadPredictors.end() ? LoadPredictor().predict(when, meanLoad)
                                           : found->second.predict(when, meanLoad);
}

/// Returns the recent use of best-effort tasks by image: that of \p colocatedTasks and that of
/// recently ended ones.
static std::vector<BestEffortUse>
recentBestEffortUse(const std::vector<ColocatedTask> &colocatedTasks,
                    const std::vector<BestEffortUse> &endedUses)
{
    std::map<ImageIndex, double> used;
    for (const BestEffortUse &ended : endedUses)
        used[ended.image] += ended.share;
    for (const ColocatedTask &colocated : colocatedTasks) {
        if (colocated.isBestEffort && colocated.usedShare > 0)
            used[colocated.image] += colocated.usedShare;
    }
    std::vector<BestEffortUse> bestEffortUses;
    bestEffortUses.reserve(used.size());
    for (const auto &[image, share] : used)
        bestEffortUses.push_back({ image, share });
    return bestEffortUses;
}

void ThrottleController::observe(const std::vector<ColocatedTask> &colocatedTasks,
                                 const std::vector<BestEffortUse> &endedUses, Core::Instant now)
{
    const std::vector<BestEffortUse> bestEffortUses
        = recentBestEffortUse(colocatedTasks, endedUses);
    for (const ColocatedTask &colocated : colocatedTasks) {
        if (colocated.tailRatio > 0)
            observeServing(colocated, bestEffortUses, now);
    }
}

void ThrottleController::observeServing(const ColocatedTask &serving,
                                        const std::vector<BestEffortUse> &bestEffortUses,
                                        Core::Instant now)
{
    const ImageIndex image = serving.image;
    const Core::Instant readAt = now - reportDelay;
    const LoadEstimate load = predictedLoad(serving.name.job, image, readAt);
    m_slowdownModel.observe(image, load, serving.tailRatio, bestEffortUses);
    const double utilization = m_slowdownModel.utilization(image, serving.tailRatio);
    const double expected = load.load * m_slowdownModel.slowdown(image, bestEffortUses);
    // Beyond saturation a tail latency only shows that the load isn't lower than expected.
    const bool isSaturated = utilization > saturatedUtilization && expected > saturatedUtilization;
    if (isSaturated)
        return;
    const LoadEstimate reading = m_slowdownModel.ownLoad(image, serving.tailRatio, bestEffortUses);
    m_loadPredictors[serving.name.job].observe(reading, readAt);
}

double
ThrottleController::excessOverPrediction(const ColocatedTask &serving,
                                         const std::vector<BestEffortUse> &bestEffortUses) const
{
    if (serving.tailRatio < minCorrectedTailRatio)
        return 1;
    const double load
        = predictedLoad(serving.name.job, serving.image, serving.reportedAt - reportDelay).load;
    const double expected = load * m_slowdownModel.slowdown(serving.image, bestEffortUses);
    const double observed = m_slowdownModel.utilization(serving.image, serving.tailRatio);
    return std::clamp(observed / std::max(expected, 0.01), 1.0, maxExcess);
}

std::vector<ThrottleController::SlowdownBudget>
ThrottleController::slowdownBudgets(const std::vector<ColocatedTask> &colocatedTasks,
                                    Core::Instant now) const
{
    std::vector<SlowdownBudget> budgets;
    const std::vector<BestEffortUse> bestEffortUses = recentBestEffortUse(colocatedTasks, {});
    for (const ColocatedTask &colocated : colocatedTasks) {
        if (colocated.tailRatio <= 0)
            continue;
        const bool isOver = colocated.overTargetSince != Core::Instant();
        if (isOver && now >= colocated.overTargetSince + maxTimeOverTarget) {
            budgets.push_back({ colocated.image, 0 });
            continue;
        }
        const double load
            = predictedLoad(colocated.name.job, colocated.image, now + reactionTime).load
            * excessOverPrediction(colocated, bestEffortUses);
        const double maxSlowdown = allowedSlowdown
            * m_slowdownModel.utilizationAtTarget(colocated.image) / std::max(load, 0.01);
        budgets.push_back({ colocated.image, std::max(0.0, maxSlowdown - 1) });
    }
    return budgets;
}

std::vector<int>
ThrottleController::throttlePercents(const std::vector<ColocatedTask> &colocatedTasks,
                                     Core::Instant now) const
{
    std::vector<int> percents(colocatedTasks.size(), fullPercent);
    std::vector<SlowdownBudget> budgets = slowdownBudgets(colocatedTasks, now);
    if (budgets.empty())
        return percents;
    struct Candidate
    {
        std::size_t index = 0;
        double interference = 0;
    };
    std::vector<Candidate> candidates;
    for (std::size_t i = 0; i < colocatedTasks.size(); ++i) {
        if (!colocatedTasks[i].isBestEffort)
            continue;
        Candidate candidate { i, 0 };
        for (const SlowdownBudget &budget : budgets)
            candidate.interference
                = std::max(candidate.interference,
                           m_slowdownModel.interference(budget.image, colocatedTasks[i].image));
        candidates.push_back(candidate);
    }
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const Candidate &one, const Candidate &other) {
                         return one.interference < other.interference;
                     });
    for (const Candidate &candidate : candidates) {
        const ColocatedTask &bestEffort = colocatedTasks[candidate.index];
        double allowedFraction = 1;
        for (const SlowdownBudget &budget : budgets) {
            const double slowdown
                = m_slowdownModel.interference(budget.image, bestEffort.image) * bestEffort.share;
            if (slowdown > budget.slowdown)
                allowedFraction = std::min(allowedFraction, budget.slowdown / slowdown);
        }
        const int percent = static_cast<int>(allowedFraction * fullPercent) / percentGranularity
            * percentGranularity;
        percents[candidate.index] = percent;
        for (SlowdownBudget &budget : budgets)
            budget.slowdown -= m_slowdownModel.interference(budget.image, bestEffort.image)
                * bestEffort.share * percent / fullPercent;
    }
    return percents;
}

} // namespace Jobs
