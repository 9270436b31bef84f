#pragma once

#include <LibCore/Time.h>

#include <chrono>

namespace Core {

/// The current time of the steady clock. Only the code that does I/O reads it; decision modules get
/// the time as an argument.
Instant steadyNow();

/// A monotonic clock that also counts the time for which the VM was suspended. Its epoch differs
/// from that of `steadyNow()`.
Instant suspendAwareNow();

/// Converts \p instant to the standard library's steady clock, for timers.
std::chrono::steady_clock::time_point toSteadyTimePoint(Instant instant);

} // namespace Core
