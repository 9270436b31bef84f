#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace Routing {

/// Recent latencies in buckets of a quarter octave. Old samples fade: whenever enough have come,
/// all counts are halved.
class LatencyHistogram
{
public:
    void add(Core::Duration latency);
    /// The upper edge of the bucket that holds the quantile; \p fallback if too little is known.
    Core::Duration quantile(double quantile, Core::Duration fallback) const;

private:
    static constexpr std::size_t bucketsPerOctave = 4;
    static constexpr std::size_t bucketCount = 32 * bucketsPerOctave;
    static constexpr std::uint32_t minimumSamples = 50;
    static constexpr std::uint32_t halvingSamples = 8192;

    std::array<std::uint32_t, bucketCount> m_counts {};
    std::uint32_t m_total = 0;
};

} // namespace Routing
