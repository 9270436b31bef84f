#include <LibJob/PressureModel.h>

#include <algorithm>

namespace Jobs {

static constexpr double initialLeastTail = 0.25;
static constexpr double smallestLeastTail = 0.1;
static constexpr double initialLoad = 0.45;
static constexpr double loadRate = 0.03;
static constexpr double pressureRate = 0.15;
static constexpr double highestUtilization = 0.98;
/// Keeps tiny shares from making large steps.
static constexpr double shareFloor = 0.003;
static constexpr double largestPressure = 20.0;

const PressureModel::Serving &PressureModel::find(const std::string &servingImage) const
{
    static const Serving unknown { initialLeastTail, initialLoad };
    const auto found = m_serving.find(servingImage);
    return found == m_serving.end() ? unknown : found->second;
}

double PressureModel::utilization(const std::string &servingImage, double tailOfTarget) const
{
    const double leastTail = find(servingImage).leastTail;
    if (tailOfTarget <= leastTail)
        return 0;
    return std::min(highestUtilization, 1 - leastTail / tailOfTarget);
}

double PressureModel::utilizationAtTarget(const std::string &servingImage) const
{
    return utilization(servingImage, 1.0);
}

double PressureModel::meanLoad(const std::string &servingImage) const
{
    return find(servingImage).load;
}

double PressureModel::pressure(const std::string &servingImage,
                               const std::string &fillerImage) const
{
    const auto found = m_pressure.find({ servingImage, fillerImage });
    return found == m_pressure.end() ? 0 : found->second;
}

double PressureModel::slowdown(const std::string &servingImage,
                               const std::vector<FillerUse> &fillers) const
{
    double slowdown = 1;
    for (const FillerUse &filler : fillers)
        slowdown += pressure(servingImage, filler.image) * filler.share;
    return slowdown;
}

void PressureModel::observe(const std::string &servingImage, double tailOfTarget,
                            const std::vector<FillerUse> &fillers)
{
    Serving &serving
        = m_serving.try_emplace(servingImage, Serving { initialLeastTail, initialLoad })
              .first->second;
    if (tailOfTarget > smallestLeastTail)
        serving.leastTail = std::min(serving.leastTail, tailOfTarget);
    const double observed = utilization(servingImage, tailOfTarget);
    if (fillers.empty()) {
        serving.load += loadRate * (observed - serving.load);
        return;
    }
    double norm = shareFloor;
    for (const FillerUse &filler : fillers)
        norm += filler.share * filler.share;
    const double expected = serving.load * slowdown(servingImage, fillers);
    // Beyond saturation the tail latency tells no more.
    const double error = (observed - std::min(expected, highestUtilization)) / serving.load;
    for (const FillerUse &filler : fillers) {
        double &pressure = m_pressure[{ servingImage, filler.image }];
        pressure = std::clamp(pressure + pressureRate * error * filler.share / norm, 0.0,
                              largestPressure);
    }
}

} // namespace Jobs
