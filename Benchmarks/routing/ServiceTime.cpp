#include "ServiceTime.h"

#include <cmath>

namespace RoutingBenchmark {

namespace {

constexpr double medianMicroseconds = 40'000;
constexpr double sigma = 0.6;
constexpr double slowdownWhenFull = 0.3;
constexpr int slots = 8;
constexpr double worstNeighbours = 1.5;
constexpr Core::Duration neighboursStay = std::chrono::seconds(2);

} // namespace

Core::Duration ServiceTime::draw(int running, Core::Instant now)
{
    if (now >= m_neighboursUntil) {
        m_neighbours = std::uniform_real_distribution<>(1, worstNeighbours)(m_random);
        m_neighboursUntil = now + neighboursStay;
    }
    const double alone
        = std::lognormal_distribution<>(std::log(medianMicroseconds), sigma)(m_random);
    const double crowding = 1 + slowdownWhenFull * (running - 1) / (slots - 1);
    return Core::Duration(static_cast<std::int64_t>(alone * crowding * m_neighbours));
}

} // namespace RoutingBenchmark
