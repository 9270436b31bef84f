#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibRouting/MembershipView.h>

#include <deque>
#include <optional>
#include <string>

namespace Routing {

/// Determines by rendezvous hashing which failure domain is a key's home and which entry VM there
/// owns the key, and since when this VM has owned it without interruption.
class KeyOwnership
{
public:
    KeyOwnership(Core::VmId self, Core::FailureDomainId ownDomain, Core::Duration keyLifetime);

    /// Applies a newer view, or the renewal of a lease, which has the same version. Older versions
    /// are ignored.
    void setView(const MembershipView &view, Core::Instant now);

    /// Returns the key's home; empty while no view is known.
    Core::FailureDomainId homeOf(const Core::TeamId &team, const std::string &key) const;
    /// Returns the key's owner in this failure domain; empty while no view is known.
    Core::VmId ownerOf(const Core::TeamId &team, const std::string &key) const;

    /// Returns since when this VM has been the key's only owner; nothing if it may not be now.
    std::optional<Core::Instant> ownedSince(const Core::TeamId &team, const std::string &key,
                                            Core::Instant now) const;

private:
    bool isOwnedIn(const MembershipView &view, const Core::TeamId &team,
                   const std::string &key) const;

    Core::VmId m_self;
    Core::FailureDomainId m_ownDomain;
    Core::Duration m_keyLifetime;
    /// When the first view was applied; the ownership before that isn't known.
    Core::Instant m_knownSince;
    /// Oldest first; views older than the lifetime of a key are deleted.
    std::deque<MembershipView> m_views;
};

} // namespace Routing
