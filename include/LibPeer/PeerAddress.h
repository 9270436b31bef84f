#pragma once

#include <LibCore/Identifier.h>

#include <compare>
#include <cstdint>
#include <string>

namespace Peer {

/// Where another entry VM listens for its peers.
struct PeerAddress
{
    Core::VmId peer;
    /// An IP number.
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const PeerAddress &) const = default;
};

} // namespace Peer
