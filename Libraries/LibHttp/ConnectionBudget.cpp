#include <LibHttp/ConnectionBudget.h>

#include <algorithm>

namespace Http {

/// Deferrable calls may always use the budget divided by this, however many peers are known.
static constexpr std::size_t deferrableShareDivisor = 8;

ConnectionBudget::ConnectionBudget(std::size_t maxOpen)
    : m_maxOpen(maxOpen)
{
}

std::size_t ConnectionBudget::maxDeferrableCalls() const
{
    const std::size_t withoutPeers = m_maxOpen - std::min(m_peers, m_maxOpen);
    return std::max(withoutPeers, m_maxOpen / deferrableShareDivisor);
}

bool ConnectionBudget::tryBeginCall(Use use)
{
    const bool isDeferrable = use == Use::Deferrable;
    const bool isDenied
        = m_calls >= m_maxOpen || (isDeferrable && m_deferrableCalls >= maxDeferrableCalls());
    if (isDenied) {
        ++m_refusedCalls;
        return false;
    }
    ++m_calls;
    if (isDeferrable)
        ++m_deferrableCalls;
    return true;
}

void ConnectionBudget::endCall(Use use)
{
    --m_calls;
    if (use == Use::Deferrable)
        --m_deferrableCalls;
}

bool ConnectionBudget::tryOpen()
{
    if (m_open >= m_maxOpen && !m_idle.empty())
        m_idle.front().owner->closeLongestIdle();
    if (m_open >= m_maxOpen)
        return false;
    ++m_open;
    return true;
}

ConnectionBudget::IdlePosition ConnectionBudget::addIdle(IdleConnectionOwner &owner,
                                                         Core::Instant now)
{
    return m_idle.insert(m_idle.end(), { &owner, now + idleTime });
}

void ConnectionBudget::closeExpired(Core::Instant now, std::size_t maxClosed)
{
    for (std::size_t closed = 0; closed < maxClosed; ++closed) {
        if (m_idle.empty() || now < m_idle.front().expiresAt)
            return;
        m_idle.front().owner->closeLongestIdle();
    }
}

} // namespace Http
