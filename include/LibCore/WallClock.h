#pragma once

#include <cstdint>

namespace Core {

/// Milliseconds since the Unix epoch by the wall clock, for times that leave the VM. It may jump,
/// so deadlines use `steadyNow()`.
std::int64_t unixMillisecondsNow();

} // namespace Core
