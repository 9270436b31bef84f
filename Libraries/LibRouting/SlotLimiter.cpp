#include <LibRouting/SlotLimiter.h>

#include <algorithm>

namespace Routing {

SlotLimiter::SlotLimiter(Core::Duration longestServiceTime, Core::Duration idleTimeout)
    : m_longestServiceTime(longestServiceTime)
    , m_idleTimeout(idleTimeout)
{
}

void SlotLimiter::setShare(int slots, int connections)
{
    m_slots = slots;
    m_connections = connections;
}

bool SlotLimiter::hasFreeSlot() const
{
    return m_inWork + abandoned() < m_slots && connectionsWith(1) <= m_connections;
}

bool SlotLimiter::hasFreeConnection() const
{
    return connectionsWith(1) <= m_connections;
}

int SlotLimiter::surplusConnections() const
{
    const int idle = std::max(0, m_open - m_inWork - m_probes);
    return std::clamp(connectionsWith(0) - m_connections, 0, idle);
}

void SlotLimiter::onAbandoned(const Core::RequestId &request, int attempt, Core::Instant now)
{
    --m_inWork;
    m_abandoned.push_back({ request, attempt, now, std::nullopt });
}

bool SlotLimiter::onAbandonedEnded(const Core::RequestId &request, int attempt)
{
    return std::erase_if(m_abandoned,
                         [&](const AbandonedAttempt &entry) {
                             return entry.request == request && entry.attempt == attempt;
                         })
        > 0;
}

void SlotLimiter::onConnectionClosed(bool isKnownToServer, Core::Instant now)
{
    m_open = std::max(0, m_open - 1);
    if (!isKnownToServer)
        m_uncertainUntil.push_back(now + m_idleTimeout);
}

void SlotLimiter::onSignOfLife(Core::Instant sentAt, Core::Instant now)
{
    for (AbandonedAttempt &entry : m_abandoned) {
        if (!entry.releaseAt && entry.abandonedAt <= sentAt)
            entry.releaseAt = now + m_longestServiceTime;
    }
}

bool SlotLimiter::needsSignOfLife() const
{
    return std::any_of(m_abandoned.begin(), m_abandoned.end(),
                       [](const AbandonedAttempt &entry) { return !entry.releaseAt; });
}

void SlotLimiter::release(Core::Instant now)
{
    std::erase_if(m_abandoned, [&](const AbandonedAttempt &entry) {
        return entry.releaseAt && *entry.releaseAt <= now;
    });
    std::erase_if(m_uncertainUntil, [&](Core::Instant until) { return until <= now; });
}

std::optional<Core::Instant> SlotLimiter::nextRelease() const
{
    std::optional<Core::Instant> next;
    const auto consider
        = [&](Core::Instant instant) { next = next ? std::min(*next, instant) : instant; };
    for (const AbandonedAttempt &entry : m_abandoned) {
        if (entry.releaseAt)
            consider(*entry.releaseAt);
    }
    for (const Core::Instant until : m_uncertainUntil)
        consider(until);
    return next;
}

int SlotLimiter::connectionsWith(int added) const
{
    const int needed = std::max(m_open, m_inWork + m_probes + added);
    return needed + abandoned() + static_cast<int>(m_uncertainUntil.size());
}

} // namespace Routing
