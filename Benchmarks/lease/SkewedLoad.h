#pragma once

#include <cstdint>

namespace Lease {

/// An open-loop load on one pool of slots: Poisson arrivals, exponential service times, and a queue
/// whose requests give up after a while.
struct LoadSettings
{
    double arrivalsPerSecond = 0;
    double serviceSeconds = 0.05;
    double patienceSeconds = 0.2;
    double lengthSeconds = 60;
    int slots = 0;
    std::uint32_t seed = 1;
};

struct LoadResult
{
    std::int64_t offered = 0;
    std::int64_t served = 0;
};

LoadResult simulateLoad(const LoadSettings &settings);

} // namespace Lease
