#pragma once

#include <LibCore/Identifier.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace Lease {

/// The entry VMs of a failure domain as of one version of the lease state in the log.
struct DomainView
{
    /// Rises by one with each valid claim or witness set; 0 is the state before the first claim.
    std::uint64_t version = 0;
    /// The holder and its witnesses, sorted.
    std::vector<Core::VmId> members;
    /// VMs whose floor of slots is reserved, in the order in which they were seated: the members,
    /// and former members that may still serve from their floor.
    std::vector<Core::VmId> seats;

    bool operator==(const DomainView &) const = default;

    bool hasMember(const Core::VmId &vm) const;
};

} // namespace Lease
