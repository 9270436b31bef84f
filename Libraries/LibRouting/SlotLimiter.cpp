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
    // A probe never uses an idle connection, since it tests whether new connections work.
    return connectionsWith(0) + 1 <= m_connections;
}

int SlotLimiter::surplusConnections() const
{
    const int idle = std::max(0, m_open - m_inWork - m_probes);
    return std::clamp(connectionsWith(0) - m_connections, 0, idle);
}

void SlotLimiter::onAbandoned(const Core::RequestId &request, int attempt, Core::Instant now)
{
    --m_inWork;
    m_abandoned.push_back({ request, attempt, now, m_longestServiceTime });
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

std::vector<SlotLimiter::AbandonedAttempt> SlotLimiter::onSignOfLife(Core::Instant now)
{
    const Core::Duration sinceLast = now - m_lastSignOfLife;
    m_lastSignOfLife = now;
    if (sinceLast > longestGap)
        return {};
    for (AbandonedAttempt &entry : m_abandoned)
        entry.remaining -= std::min(sinceLast, now - entry.abandonedAt);
    const auto firstEnded = std::stable_partition(
        m_abandoned.begin(), m_abandoned.end(),
        [](const AbandonedAttempt &entry) { return entry.remaining > Core::Duration(0); });
    std::vector<AbandonedAttempt> ended(firstEnded, m_abandoned.end());
    m_abandoned.erase(firstEnded, m_abandoned.end());
    return ended;
}

void SlotLimiter::release(Core::Instant now)
{
    while (!m_uncertainUntil.empty() && m_uncertainUntil.front() <= now)
        m_uncertainUntil.pop_front();
}

std::optional<Core::Instant> SlotLimiter::nextRelease() const
{
    if (m_uncertainUntil.empty())
        return std::nullopt;
    return m_uncertainUntil.front();
}

int SlotLimiter::connectionsWith(int added) const
{
    const int needed = std::max(m_open, m_inWork + m_probes + added);
    return needed + abandoned() + static_cast<int>(m_uncertainUntil.size());
}

} // namespace Routing
