#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <vector>

namespace Routing {

/// The failure domains and entry VMs that may own callers' keys; provided by the lease module.
struct MembershipView
{
    std::uint64_t version = 0;
    /// All failure domains in service, reachable or not.
    std::vector<Core::FailureDomainId> failureDomains;
    /// The entry VMs of this failure domain that may own keys.
    std::vector<Core::VmId> members;
    /// From this time on no owner of an earlier view can decide about a key.
    Core::Instant ownerSince;
    /// Until this time no VM can use a later view.
    Core::Instant leaseUntil;

    bool operator==(const MembershipView &) const = default;
};

} // namespace Routing
