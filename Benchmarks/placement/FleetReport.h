#pragma once

#include <cstdint>

namespace PlacementBenchmark {

/// Runs the same trace with the informed scheduler and the two baselines for \p seconds of virtual
/// time, and prints what they did beside the stated targets.
void reportFleet(int seconds, std::uint64_t seed);

} // namespace PlacementBenchmark
