#pragma once

#include <LibCore/Identifier.h>

#include <compare>
#include <cstdint>
#include <string>

namespace Settings {

/// Another entry VM, as the settings name it: `ID@DOMAIN@ADDRESS:PEERPORT:CALLERPORT`.
struct KnownPeer
{
    Core::VmId id;
    Core::FailureDomainId failureDomain;
    std::string address;
    std::uint16_t peerPort = 0;
    std::uint16_t callerPort = 0;

    auto operator<=>(const KnownPeer &) const = default;
};

} // namespace Settings
