#include <LibPlacement/UsageEstimator.h>

#include <algorithm>

namespace Placement {

namespace {

/// The weight of a new observation in a smoothed ratio.
constexpr double smoothing = 0.05;
/// Caps the observed ratio of usage to declared size.
constexpr double maximumRatio = 2.0;

void learn(double &ratio, std::int64_t used, std::int64_t declared)
{
    if (declared <= 0)
        return;
    const double observed = static_cast<double>(used) / static_cast<double>(declared);
    ratio += smoothing * (std::min(observed, maximumRatio) - ratio);
}

std::int64_t excessOf(double ratio, std::int64_t declared)
{
    return static_cast<std::int64_t>(std::max(0.0, ratio - 1.0) * static_cast<double>(declared));
}

} // namespace

void UsageEstimator::observe(const Task::TaskSpec &spec, const Core::Resources &used)
{
    Ratios &ratios = m_ratios[{ spec.team, spec.taskClass }];
    learn(ratios.milliCores, used.milliCores, spec.declared.milliCores);
    learn(ratios.mebibytes, used.mebibytes, spec.declared.mebibytes);
}

Core::Resources UsageEstimator::expectedExcess(const Task::TaskSpec &spec) const
{
    const auto found = m_ratios.find({ spec.team, spec.taskClass });
    if (found == m_ratios.end())
        return {};
    return { excessOf(found->second.milliCores, spec.declared.milliCores),
             excessOf(found->second.mebibytes, spec.declared.mebibytes), 0 };
}

} // namespace Placement
