#pragma once

#include <cstddef>

namespace Placement {

/// The number of a worker inside one scheduler; it never changes while the scheduler lives.
using WorkerSlot = std::size_t;

} // namespace Placement
