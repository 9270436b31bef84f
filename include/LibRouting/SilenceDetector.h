#pragma once

#include <LibCore/Time.h>
#include <LibRouting/LatencyHistogram.h>
#include <LibRouting/RouterSettings.h>

namespace Routing {

/// Determines how long an attempt may wait for the first byte before its connection is suspect,
/// from the times to first byte of all servers together: a single bad server can't raise the limit.
class SilenceDetector
{
public:
    explicit SilenceDetector(const RouterSettings &settings);

    void onFirstByte(Core::Duration timeToFirstByte);
    Core::Duration threshold() const { return m_threshold; }

private:
    /// The quantile is computed once per this many samples, since that costs more than adding one.
    static constexpr int samplesPerUpdate = 64;
    static constexpr double quantile = 0.99;

    RouterSettings m_settings;
    LatencyHistogram m_histogram;
    Core::Duration m_threshold;
    int m_samplesSinceUpdate = 0;
};

} // namespace Routing
