#pragma once

#include <LibCore/Time.h>
#include <LibRouting/LatencyHistogram.h>
#include <LibRouting/RouterSettings.h>

namespace Routing {

/// Says how long an attempt may go without a first byte before its connection is suspect, from
/// the times to first byte that all servers show. Sampling all of them keeps one bad server from
/// setting its own standard.
class SilenceDetector
{
public:
    explicit SilenceDetector(const RouterSettings &settings);

    void onFirstByte(Core::Duration timeToFirstByte);
    Core::Duration threshold() const { return m_threshold; }

private:
    /// The quantile is read once per so many samples, as reading it costs more than adding one.
    static constexpr int samplesPerUpdate = 64;
    static constexpr double quantile = 0.99;

    RouterSettings m_settings;
    LatencyHistogram m_histogram;
    Core::Duration m_threshold;
    int m_samplesSinceUpdate = 0;
};

} // namespace Routing
