#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Platform {

/// Where an HTTP service listens.
struct HttpEndpoint
{
    /// An IP number; names aren't resolved.
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const HttpEndpoint &) const = default;
};

} // namespace Platform
