#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace Site {

/// What is ahead of a new record that is to be appended. Appends are sent one after another.
struct AppendQueue
{
    Core::Duration latency = {};
    /// How long the append in flight has been unanswered; nothing if there is none.
    std::optional<Core::Duration> inFlightFor = {};
    /// Full appends that precede the one with the new record.
    std::size_t fullAppends = 0;
    /// Pause before the next append.
    Core::Duration pause = {};
};

/// The time until everything that is ahead is answered.
Core::Duration drainTime(const AppendQueue &queue);
/// True if a new record is expected to be durable within \p timeLeft.
bool isDurableWithin(const AppendQueue &queue, Core::Duration timeLeft);
/// The time in whole seconds, rounded up; at least 1.
std::int64_t retryAfterSeconds(Core::Duration drainTime);

} // namespace Site
