#include <LibJob/LoadPredictor.h>

#include <algorithm>
#include <cmath>

namespace Jobs {

/// After this time the weight of a reading has fallen to 1/e.
static constexpr double decaySeconds = 0.8;
/// Flattens the slope while the readings are close together in time; in seconds squared.
static constexpr double slopeDamping = 0.05;
/// A reading with this variance or a smaller one has the weight 1.
static constexpr double fullWeightVariance = 0.0016;
/// Weight of the prior load relative to the readings.
static constexpr double priorWeight = 0.7;
static constexpr double priorVariance = 0.02;
static constexpr double minLoad = 0.02;
static constexpr double maxLoad = 0.95;

static double seconds(Core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

void LoadPredictor::decayTo(Core::Instant at)
{
    if (m_weightSum == 0) {
        m_origin = at;
        return;
    }
    const double elapsed = seconds(at - m_origin);
    if (elapsed <= 0)
        return;
    m_origin = at;
    const double decay = std::exp(-elapsed / decaySeconds);
    m_timeSquaredSum
        = (m_timeSquaredSum - 2 * elapsed * m_timeSum + elapsed * elapsed * m_weightSum) * decay;
    m_timeLoadSum = (m_timeLoadSum - elapsed * m_loadSum) * decay;
    m_timeSum = (m_timeSum - elapsed * m_weightSum) * decay;
    m_loadSum *= decay;
    m_weightSum *= decay;
}

void LoadPredictor::observe(const LoadEstimate &reading, Core::Instant at)
{
    decayTo(at);
    const double load = reading.load;
    const double weight = fullWeightVariance / std::max(reading.variance, fullWeightVariance);
    const double time = std::min(0.0, seconds(at - m_origin));
    m_weightSum += weight;
    m_timeSum += weight * time;
    m_timeSquaredSum += weight * time * time;
    m_loadSum += weight * load;
    m_timeLoadSum += weight * time * load;
}

LoadEstimate LoadPredictor::predict(Core::Instant when, double priorLoad) const
{
    const double elapsed = std::max(0.0, seconds(when - m_origin));
    const double weight = m_weightSum * std::exp(-elapsed / decaySeconds);
    if (weight <= 0)
        return { priorLoad, priorVariance };
    const double meanTime = m_timeSum / m_weightSum;
    const double meanLoad = m_loadSum / m_weightSum;
    const double timeVariance = m_timeSquaredSum / m_weightSum - meanTime * meanTime;
    const double covariance = m_timeLoadSum / m_weightSum - meanTime * meanLoad;
    const double slope = covariance / (timeVariance + slopeDamping);
    const double load = meanLoad + slope * (seconds(when - m_origin) - meanTime);
    const double expected = (weight * load + priorWeight * priorLoad) / (weight + priorWeight);
    const double variance = priorVariance * priorWeight / (weight + priorWeight);
    return { std::clamp(expected, minLoad, maxLoad), variance };
}

} // namespace Jobs
