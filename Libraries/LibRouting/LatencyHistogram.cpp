#include <LibRouting/LatencyHistogram.h>

#include <algorithm>
#include <cmath>

namespace Routing {

void LatencyHistogram::add(Core::Duration latency)
{
    const double microseconds = std::max(1.0, static_cast<double>(latency.count()));
    const auto bucket = static_cast<std::size_t>(std::log2(microseconds) * bucketsPerOctave);
    ++m_counts[std::min(bucket, bucketCount - 1)];
    if (++m_total < halvingSamples)
        return;
    m_total = 0;
    for (std::uint32_t &count : m_counts) {
        count /= 2;
        m_total += count;
    }
}

Core::Duration LatencyHistogram::quantile(double quantile, Core::Duration fallback) const
{
    if (m_total < minimumSamples)
        return fallback;
    const double wanted = quantile * m_total;
    double seen = 0;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket) {
        seen += m_counts[bucket];
        if (seen >= wanted)
            return Core::Duration(static_cast<std::int64_t>(
                std::exp2(static_cast<double>(bucket + 1) / bucketsPerOctave)));
    }
    return fallback;
}

} // namespace Routing
