#include <LibSite/StoreHealth.h>

namespace Site {

/// One failed call may be the connection's fault.
static constexpr int mostFailuresInARow = 2;

bool StoreHealth::noteSuccess(Core::Instant now)
{
    m_failuresInARow = 0;
    if (m_isReachable)
        return false;
    m_isReachable = true;
    m_changedAt = now;
    return true;
}

bool StoreHealth::noteFailure(Core::Instant now)
{
    ++m_failuresInARow;
    if (!m_isReachable || m_failuresInARow < mostFailuresInARow)
        return false;
    m_isReachable = false;
    m_changedAt = now;
    return true;
}

} // namespace Site
