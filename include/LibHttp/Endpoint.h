#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Http {

/// The address and port of an HTTP service.
struct Endpoint
{
    /// An IP address; host names aren't resolved.
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

} // namespace Http
