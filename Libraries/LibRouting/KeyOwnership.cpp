#include <LibRouting/KeyOwnership.h>

#include "Rendezvous.h"

#include <algorithm>

namespace Routing {

KeyOwnership::KeyOwnership(Core::VmId self, Core::FailureDomainId ownDomain,
                           Core::Duration keyLifetime)
    : m_self(std::move(self))
    , m_ownDomain(std::move(ownDomain))
    , m_keyLifetime(keyLifetime)
{
}

void KeyOwnership::setView(const MembershipView &view, Core::Instant now)
{
    if (m_views.empty()) {
        m_knownSince = now;
        m_views.push_back(view);
        return;
    }
    MembershipView &latest = m_views.back();
    if (view.version < latest.version)
        return;
    if (view.version == latest.version) {
        latest.leaseUntil = std::max(latest.leaseUntil, view.leaseUntil);
        return;
    }
    m_views.push_back(view);
    while (m_views.size() > 1 && m_views[1].ownerSince <= now - m_keyLifetime)
        m_views.pop_front();
}

Core::FailureDomainId KeyOwnership::homeOf(const Core::TeamId &team, const std::string &key) const
{
    if (m_views.empty())
        return {};
    return rendezvousOwner(m_views.back().failureDomains, team, key);
}

Core::VmId KeyOwnership::ownerOf(const Core::TeamId &team, const std::string &key) const
{
    if (m_views.empty())
        return {};
    return rendezvousOwner(m_views.back().members, team, key);
}

std::optional<Core::Instant>
KeyOwnership::ownedSince(const Core::TeamId &team, const std::string &key, Core::Instant now) const
{
    if (m_views.empty())
        return std::nullopt;
    const MembershipView &latest = m_views.back();
    const bool isInForce = latest.ownerSince <= now && now < latest.leaseUntil;
    if (!isInForce || !isOwnedIn(latest, team, key))
        return std::nullopt;
    Core::Instant since = latest.ownerSince;
    std::uint64_t version = latest.version;
    for (auto older = std::next(m_views.rbegin()); older != m_views.rend(); ++older) {
        // Another VM may have owned the key in a version that this VM hasn't seen.
        if (older->version + 1 != version || !isOwnedIn(*older, team, key))
            break;
        since = older->ownerSince;
        version = older->version;
    }
    return std::max(since, m_knownSince);
}

bool KeyOwnership::isOwnedIn(const MembershipView &view, const Core::TeamId &team,
                             const std::string &key) const
{
    return rendezvousOwner(view.failureDomains, team, key) == m_ownDomain
        && rendezvousOwner(view.members, team, key) == m_self;
}

} // namespace Routing
