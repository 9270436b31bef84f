#include <LibSite/LatencyEstimate.h>

namespace Site {

/// How late the event loop of a running process may notice that a deadline has passed.
static constexpr Core::Duration maxTimerDelay = std::chrono::milliseconds(200);

std::optional<Core::Duration> measureLatency(Core::Instant beganAt, Core::Instant deadline,
                                             Core::Instant now)
{
    if (now > deadline + maxTimerDelay)
        return std::nullopt;
    return now - beganAt;
}

} // namespace Site
