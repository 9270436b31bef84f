#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <vector>

namespace Routing {

/// Who may own callers' keys. Given by the module that holds the leases.
struct MembershipView
{
    std::uint64_t version = 0;
    /// All failure domains in service, in reach or not.
    std::vector<Core::FailureDomainId> failureDomains;
    /// The entry VMs of our own failure domain that may own keys.
    std::vector<Core::VmId> members;
    /// From here on no owner of an earlier view can decide about a key any more.
    Core::Instant ownerSince;
    /// Until here nobody can act upon a later view.
    Core::Instant leaseUntil;

    bool operator==(const MembershipView &) const = default;
};

} // namespace Routing
