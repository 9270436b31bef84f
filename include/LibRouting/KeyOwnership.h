#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibRouting/MembershipView.h>

#include <deque>
#include <optional>
#include <string>

namespace Routing {

/// Says which failure domain is a key's home and which entry VM there owns it, by rendezvous
/// hashing, and since when we have owned it without a gap.
class KeyOwnership
{
public:
    KeyOwnership(Core::VmId self, Core::FailureDomainId ownDomain, Core::Duration keyLifetime);

    /// Takes over a newer view; the renewal of a lease comes as the same version. Older versions
    /// are ignored.
    void setView(const MembershipView &view, Core::Instant now);

    /// The key's home; empty while no view is known.
    Core::FailureDomainId homeOf(const Core::TeamId &team, const std::string &key) const;
    /// The owner within our own failure domain; empty while no view is known.
    Core::VmId ownerOf(const Core::TeamId &team, const std::string &key) const;

    /// Since when we have been the key's only owner; nothing if we aren't surely so now.
    std::optional<Core::Instant> ownedSince(const Core::TeamId &team, const std::string &key,
                                            Core::Instant now) const;

private:
    bool isOwnedIn(const MembershipView &view, const Core::TeamId &team,
                   const std::string &key) const;

    Core::VmId m_self;
    Core::FailureDomainId m_ownDomain;
    Core::Duration m_keyLifetime;
    /// What this process saw before its first view isn't known.
    Core::Instant m_knownSince;
    /// Oldest first. Kept for a key's lifetime, as older ones say nothing that matters.
    std::deque<MembershipView> m_views;
};

} // namespace Routing
