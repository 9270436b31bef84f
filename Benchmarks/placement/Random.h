#pragma once

#include <cmath>
#include <cstdint>
#include <numbers>
#include <random>

namespace PlacementBenchmark {

/// A seeded source of random numbers that gives the same ones with every standard library.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// Between 0 and 1, without 1.
    double uniform()
    {
        constexpr double scale = 1.0 / 9007199254740992.0;
        constexpr int unusedBits = 11;
        return static_cast<double>(m_engine() >> unusedBits) * scale;
    }

    double uniform(double low, double high) { return low + (high - low) * uniform(); }
    std::size_t below(std::size_t limit)
    {
        return static_cast<std::size_t>(uniform() * static_cast<double>(limit));
    }
    bool chance(double probability) { return uniform() < probability; }
    double exponential(double mean) { return -mean * std::log(1.0 - uniform()); }

    double logNormal(double median, double sigma)
    {
        const double radius = std::sqrt(-2.0 * std::log(1.0 - uniform()));
        const double normal = radius * std::cos(2.0 * std::numbers::pi * uniform());
        return median * std::exp(sigma * normal);
    }

private:
    std::mt19937_64 m_engine;
};

} // namespace PlacementBenchmark
