#pragma once

#include <cstddef>

namespace Placement {

/// The index of a worker within one scheduler. It never changes during the scheduler's lifetime.
using WorkerSlot = std::size_t;

} // namespace Placement
