#pragma once

#include <cstddef>

namespace PlacementBenchmark {

/// The heap bytes that this program holds now.
std::size_t heapBytesInUse();

} // namespace PlacementBenchmark
