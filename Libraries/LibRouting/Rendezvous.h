#pragma once

#include <LibCore/Identifier.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Routing {

/// Returns the hash of a member for a team's key. The same in all processes, releases and machines.
std::uint64_t rendezvousHash(const std::string &member, const Core::TeamId &team,
                             const std::string &key);

/// Returns the member with the highest hash for a team's key; empty if there are no members. Adding
/// or removing a member moves only the keys that this member gains or loses.
template<typename Id>
Id rendezvousOwner(const std::vector<Id> &members, const Core::TeamId &team, const std::string &key)
{
    Id owner;
    std::uint64_t highest = 0;
    for (const Id &member : members) {
        const std::uint64_t hash = rendezvousHash(member.text(), team, key);
        const bool isHigher
            = owner.isEmpty() || hash > highest || (hash == highest && member < owner);
        if (!isHigher)
            continue;
        owner = member;
        highest = hash;
    }
    return owner;
}

} // namespace Routing
