#pragma once

#include <LibCore/Time.h>

#include <random>

namespace RoutingBenchmark {

/// A calendar request's service time: lognormal, slowed by what runs beside it, and by how its
/// machine is doing in these seconds.
class ServiceTime
{
public:
    explicit ServiceTime(std::uint64_t seed)
        : m_random(seed)
    {
    }

    Core::Duration draw(int running, Core::Instant now);

private:
    std::mt19937_64 m_random;
    double m_neighbours = 1;
    Core::Instant m_neighboursUntil;
};

} // namespace RoutingBenchmark
