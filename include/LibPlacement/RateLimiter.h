#pragma once

#include <LibCore/Time.h>

namespace Placement {

/// A token bucket: lets through one event per interval, and a bounded burst after a quiet time.
class RateLimiter
{
public:
    RateLimiter(Core::Duration interval, int burst);

    bool isReady(Core::Instant now) const;
    /// True if the event may happen now, which then counts.
    bool tryTake(Core::Instant now);

private:
    Core::Duration m_interval;
    Core::Duration m_tolerance;
    /// When the bucket is full again.
    Core::Instant m_fullAt = Core::Instant::min();
};

} // namespace Placement
