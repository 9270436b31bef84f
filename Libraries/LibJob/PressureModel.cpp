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

const PressureModel::Serving &PressureModel::find(ImageIndex serving) const
{
    static const Serving unknown { initialLeastTail, initialLoad, {} };
    return serving < m_serving.size() ? m_serving[serving] : unknown;
}

PressureModel::Serving &PressureModel::make(ImageIndex serving)
{
    if (serving >= m_serving.size())
        m_serving.resize(serving + 1, Serving { initialLeastTail, initialLoad, {} });
    return m_serving[serving];
}

double PressureModel::utilization(ImageIndex serving, double tailOfTarget) const
{
    const double leastTail = find(serving).leastTail;
    if (tailOfTarget <= leastTail)
        return 0;
    return std::min(highestUtilization, 1 - leastTail / tailOfTarget);
}

double PressureModel::utilizationAtTarget(ImageIndex serving) const
{
    return utilization(serving, 1.0);
}

double PressureModel::meanLoad(ImageIndex serving) const
{
    return find(serving).load;
}

double PressureModel::pressure(ImageIndex serving, ImageIndex filler) const
{
    const std::vector<double> &pressure = find(serving).pressure;
    return filler < pressure.size() ? pressure[filler] : 0;
}

double PressureModel::slowdown(ImageIndex serving, const std::vector<FillerUse> &fillers) const
{
    double slowdown = 1;
    for (const FillerUse &filler : fillers)
        slowdown += pressure(serving, filler.image) * filler.share;
    return slowdown;
}

void PressureModel::observe(ImageIndex image, double tailOfTarget,
                            const std::vector<FillerUse> &fillers)
{
    Serving &serving = make(image);
    if (tailOfTarget > smallestLeastTail)
        serving.leastTail = std::min(serving.leastTail, tailOfTarget);
    const double observed = utilization(image, tailOfTarget);
    if (fillers.empty()) {
        serving.load += loadRate * (observed - serving.load);
        return;
    }
    double norm = shareFloor;
    for (const FillerUse &filler : fillers)
        norm += filler.share * filler.share;
    const double expected = serving.load * slowdown(image, fillers);
    // Beyond saturation the tail latency tells no more.
    const double error = (observed - std::min(expected, highestUtilization)) / serving.load;
    for (const FillerUse &filler : fillers) {
        if (filler.image >= serving.pressure.size())
            serving.pressure.resize(filler.image + 1);
        double &pressure = serving.pressure[filler.image];
        pressure = std::clamp(pressure + pressureRate * error * filler.share / norm, 0.0,
                              largestPressure);
    }
}

} // namespace Jobs
