#pragma once

#include <LibCore/Identifier.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace Lease {

/// How large a part of the remainder a member gets, beside the others' weights.
struct MemberWeight
{
    Core::VmId vm;
    int weight = 1;

    auto operator<=>(const MemberWeight &) const = default;
};

/// The entry VMs of a failure domain as of one version of the lease state in the log.
struct DomainView
{
    /// Rises by one with each valid claim or witness set; 0 is the state before the first claim.
    std::uint64_t version = 0;
    /// The holder and its witnesses, sorted.
    std::vector<Core::VmId> members;
    /// VMs whose floor of slots is reserved, in the order in which they were seated: the members,
    /// and former members that may still serve from their floor.
    std::vector<Core::VmId> reservations;
    /// The weight of each member, in the order of \c members; empty if all are equal.
    std::vector<int> weights;

    bool operator==(const DomainView &) const = default;

    bool hasMember(const Core::VmId &vm) const;
    /// Sets the weights from \p list; members that it lacks get the mean of the others.
    void setWeights(const std::vector<MemberWeight> &list);
};

} // namespace Lease
