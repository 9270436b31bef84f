#include <LibSite/StoreHealth.h>

namespace Site {

/// A single failure may be due to the connection rather than to the store.
static constexpr int failuresUntilUnreachable = 2;

bool StoreHealth::noteSuccess(Core::Instant now)
{
    m_consecutiveFailures = 0;
    if (m_isReachable)
        return false;
    m_isReachable = true;
    m_changedAt = now;
    return true;
}

bool StoreHealth::noteFailure(Core::Instant now)
{
    ++m_consecutiveFailures;
    if (!m_isReachable || m_consecutiveFailures < failuresUntilUnreachable)
        return false;
    m_isReachable = false;
    m_changedAt = now;
    return true;
}

} // namespace Site
