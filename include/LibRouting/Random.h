#pragma once

#include <cstdint>

namespace Routing {

/// A pseudorandom number generator (SplitMix64). The seed is an argument, so that decisions are
/// deterministic.
class Random
{
public:
    explicit Random(std::uint64_t seed)
        : m_state(seed)
    {
    }

    std::uint64_t next()
    {
        m_state += 0x9e3779b97f4a7c15U;
        std::uint64_t mixed = m_state;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
        return mixed ^ (mixed >> 31U);
    }

    /// Returns a number in [0, \p bound), which must be positive.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

private:
    std::uint64_t m_state;
};

} // namespace Routing
