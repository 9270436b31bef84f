#include <LibJob/SlowdownModel.h>

#include <algorithm>

namespace Jobs {

/// Readings up to this ratio don't lower the minimum.
static constexpr double lowestMinTailRatio = 0.1;
/// Part of its distance to a reading by which the mean load moves.
static constexpr double meanLoadSmoothing = 0.03;
static constexpr double maxUtilization = 0.98;
/// Variance of one reading of a tail latency, converted to a utilization.
static constexpr double readingVariance = 0.0016;
/// Weight of the prior in a mean of observed values.
static constexpr double priorWeight = 0.5;
static constexpr double minMeanInterference = 0.1;
/// Readings of one job beside the same best-effort tasks have correlated errors: this many count as
/// one.
static constexpr double correlatedReadings = 15;
static constexpr double correlatedLoadReadings = 2;
/// Lower bound of the variance, so that estimates can follow changes.
static constexpr double minVariance = 0.04;
static constexpr double maxInterference = 20.0;
/// A nearly idle serving task reveals nothing about interference; its load is clamped to this.
static constexpr double minOwnLoad = 0.1;

SlowdownModel::ServingImage &SlowdownModel::make(ImageIndex serving)
{
    if (serving >= m_servingImages.size())
        m_servingImages.resize(serving + 1);
    return m_servingImages[serving];
}

double SlowdownModel::utilization(ImageIndex serving, double tailRatio) const
{
    const double minTailRatio = find(serving).minTailRatio;
    if (tailRatio <= minTailRatio)
        return 0;
    return std::min(maxUtilization, 1 - minTailRatio / tailRatio);
}

double SlowdownModel::utilizationAtTarget(ImageIndex serving) const
{
    return utilization(serving, 1.0);
}

double SlowdownModel::meanLoad(ImageIndex serving) const
{
    return find(serving).load;
}

namespace {

/// Mean of a prior and of observed values, each of which has more weight the smaller its variance.
class InterferenceMean
{
public:
    void add(double value, double variance)
    {
        const double weight = 1 / (1 + variance);
        m_sum += weight * value;
        m_weight += weight;
    }
    double value(double prior) const
    {
        return (m_sum + priorWeight * prior) / (m_weight + priorWeight);
    }

private:
    double m_sum = 0;
    double m_weight = 0;
};

} // namespace

void SlowdownModel::updatePriors()
{
    std::size_t bestEffortImageCount = 0;
    for (const ServingImage &serving : m_servingImages)
        bestEffortImageCount = std::max(bestEffortImageCount, serving.interferences.size());
    InterferenceMean ofAll;
    std::vector<InterferenceMean> ofServing(m_servingImages.size());
    std::vector<InterferenceMean> ofBestEffort(bestEffortImageCount);
    for (std::size_t i = 0; i < m_servingImages.size(); ++i) {
        m_servingImages[i].interferences.resize(bestEffortImageCount);
        for (std::size_t j = 0; j < bestEffortImageCount; ++j) {
            const Interference &interference = m_servingImages[i].interferences[j];
            if (!interference.isObserved)
                continue;
            ofAll.add(interference.value, interference.variance);
            ofServing[i].add(interference.value, interference.variance);
            ofBestEffort[j].add(interference.value, interference.variance);
        }
    }
    const double mean = ofAll.value(initialInterference);
    for (std::size_t i = 0; i < m_servingImages.size(); ++i) {
        for (std::size_t j = 0; j < bestEffortImageCount; ++j) {
            Interference &interference = m_servingImages[i].interferences[j];
            if (!interference.isObserved)
                interference.value = ofServing[i].value(mean) * ofBestEffort[j].value(mean)
                    / std::max(mean, minMeanInterference);
        }
    }
}

double SlowdownModel::slowdown(ImageIndex serving,
                               const std::vector<BestEffortUse> &bestEffortUses) const
{
    double slowdown = 1;
    for (const BestEffortUse &bestEffort : bestEffortUses)
        slowdown += interference(serving, bestEffort.image) * bestEffort.share;
    return slowdown;
}

double SlowdownModel::varianceOfSlowdown(ImageIndex serving,
                                         const std::vector<BestEffortUse> &bestEffortUses) const
{
    const std::vector<Interference> &interferences = find(serving).interferences;
    double variance = 0;
    for (const BestEffortUse &bestEffort : bestEffortUses) {
        const bool isKnown = bestEffort.image < interferences.size();
        variance += bestEffort.share * bestEffort.share
            * (isKnown ? interferences[bestEffort.image].variance : initialVariance);
    }
    return variance;
}

LoadEstimate SlowdownModel::ownLoad(ImageIndex serving, double tailRatio,
                                    const std::vector<BestEffortUse> &bestEffortUses) const
{
    const double factor = slowdown(serving, bestEffortUses);
    const double load = utilization(serving, tailRatio) / factor;
    const double variance = readingVariance
        + correlatedReadings * load * load * varianceOfSlowdown(serving, bestEffortUses);
    return { load, variance / (factor * factor) };
}

void SlowdownModel::observe(ImageIndex image, const LoadEstimate &load, double tailRatio,
                            const std::vector<BestEffortUse> &bestEffortUses)
{
    ServingImage &serving = make(image);
    if (tailRatio > lowestMinTailRatio)
        serving.minTailRatio = std::min(serving.minTailRatio, tailRatio);
    const double observed = utilization(image, tailRatio);
    if (bestEffortUses.empty()) {
        serving.load += meanLoadSmoothing * (observed - serving.load);
        return;
    }
    const double ownLoad = std::max(load.load, minOwnLoad);
    const double expected = ownLoad * slowdown(image, bestEffortUses);
    // Beyond saturation the tail latency doesn't grow with the expected utilization.
    const double error = (observed - std::min(expected, maxUtilization)) / ownLoad;
    const double variance
        = (readingVariance + correlatedLoadReadings * load.variance) / (ownLoad * ownLoad)
        + varianceOfSlowdown(image, bestEffortUses);
    for (const BestEffortUse &bestEffort : bestEffortUses) {
        if (bestEffort.image >= serving.interferences.size())
            serving.interferences.resize(bestEffort.image + 1);
        Interference &interference = serving.interferences[bestEffort.image];
        const double gain = interference.variance * bestEffort.share / variance;
        interference.isObserved = true;
        interference.value = std::clamp(interference.value + gain * error, 0.0, maxInterference);
        interference.variance
            = std::max(minVariance, interference.variance * (1 - gain * bestEffort.share));
    }
}

} // namespace Jobs
