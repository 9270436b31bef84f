#pragma once

#include <chrono>
#include <cstdint>

namespace Core {

/// The time base of all decision modules: microseconds since an arbitrary epoch, monotonic in the
/// daemon and virtual in tests. Decision modules never read a clock; the current time is an
/// argument.
struct MonotonicTimeline
{
    using rep = std::int64_t;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<MonotonicTimeline, duration>;
    // The standard library prescribes the name.
    // NOLINTNEXTLINE(readability-identifier-naming)
    static constexpr bool is_steady = true;
};

using Duration = std::chrono::microseconds;
using Instant = MonotonicTimeline::time_point;

using namespace std::chrono_literals;

} // namespace Core
