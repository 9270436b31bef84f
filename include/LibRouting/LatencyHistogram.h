#pragma once

#include <LibCore/Time.h>

#include <array>
#include <cstddef>
#include <cstdint>

namespace Routing {

/// A histogram of recent latencies with buckets of a quarter octave. Each time enough samples have
/// been added, all counts are halved, so that old samples lose weight.
class LatencyHistogram
{
public:
    void add(Core::Duration latency);
    /// Returns the upper bound of the bucket with the quantile; \p fallback if there are too few
    /// samples.
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
