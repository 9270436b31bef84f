#pragma once

#include <LibCore/Identifier.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace Lease {

/// The weight by which a member shares the unreserved slots with the other members.
struct MemberWeight
{
    Core::VmId vm;
    int weight = 1;

    auto operator<=>(const MemberWeight &) const = default;
};

/// The membership view of a failure domain, that is its entry VMs, at one version of the lease
/// state in the log.
struct DomainView
{
    /// Incremented by each valid claim and witness set; 0 is the state before the first claim.
    std::uint64_t version = 0;
    /// The holder and its witnesses, sorted.
    std::vector<Core::VmId> members;
    /// VMs with a reserved minimum share, in the order in which they joined: the members, and
    /// former members that may still be using their minimum share.
    std::vector<Core::VmId> reservations;
    /// The weight of each member, in the order of \c members; empty if all are equal.
    std::vector<int> weights;

    bool operator==(const DomainView &) const = default;

    bool hasMember(const Core::VmId &vm) const;
    /// Sets the weights from \p list. Members that aren't in the list get the mean of its weights.
    void setWeights(const std::vector<MemberWeight> &list);
};

} // namespace Lease
