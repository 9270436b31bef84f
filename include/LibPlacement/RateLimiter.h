#pragma once

#include <LibCore/Time.h>

namespace Placement {

/// A token bucket: admits one event per interval, and a bounded burst of events after a time
/// without any.
class RateLimiter
{
public:
    /// \p burst is the number of tokens of the full bucket, at least 1. The bucket starts full.
    RateLimiter(Core::Duration interval, int burst);

    /// True if tryAcquire() would succeed.
    bool isReady(Core::Instant now) const;
    /// Takes a token; false if none is available.
    bool tryAcquire(Core::Instant now);

private:
    Core::Duration m_interval;
    /// A token is available if the bucket will be full within this time.
    Core::Duration m_burstTolerance;
    /// When the bucket will be full again.
    Core::Instant m_fullAt = Core::Instant::min();
};

} // namespace Placement
