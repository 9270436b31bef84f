#pragma once

#include <LibCore/Identifier.h>

#include <compare>
#include <cstdint>
#include <string>

namespace Peer {

/// The address at which another entry VM listens for connections of its peers.
struct PeerAddress
{
    Core::VmId peer;
    /// A numeric IP address.
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const PeerAddress &) const = default;
};

} // namespace Peer
