#include <LibRouting/SilenceDetector.h>

#include <algorithm>

namespace Routing {

SilenceDetector::SilenceDetector(const RouterSettings &settings)
    : m_settings(settings)
    , m_threshold(settings.longestSilence)
{
}

void SilenceDetector::onFirstByte(Core::Duration timeToFirstByte)
{
    m_histogram.add(timeToFirstByte);
    if (++m_samplesSinceUpdate < samplesPerUpdate)
        return;
    m_samplesSinceUpdate = 0;
    const Core::Duration usual = m_histogram.quantile(quantile, m_settings.longestSilence);
    const auto scaled
        = static_cast<std::int64_t>(static_cast<double>(usual.count()) * m_settings.silenceFactor);
    m_threshold
        = std::clamp(Core::Duration(scaled), m_settings.shortestSilence, m_settings.longestSilence);
}

} // namespace Routing
