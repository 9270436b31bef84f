#include <LibPlacement/RateLimiter.h>

#include <algorithm>

namespace Placement {

RateLimiter::RateLimiter(Core::Duration interval, int burst)
    : m_interval(interval)
    , m_burstTolerance(interval * (burst - 1))
{
}

bool RateLimiter::isReady(Core::Instant now) const
{
    return m_fullAt <= now + m_burstTolerance;
}

bool RateLimiter::tryAcquire(Core::Instant now)
{
    if (!isReady(now))
        return false;
    m_fullAt = std::max(m_fullAt, now) + m_interval;
    return true;
}

} // namespace Placement
