#pragma once

#include <cstdint>

namespace Core {

/// Milliseconds since 1970 by the wall clock, for times that leave the VM. It may jump; deadlines
/// go by `steadyNow()`.
std::int64_t unixMillisecondsNow();

} // namespace Core
