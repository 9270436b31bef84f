#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace Http {

/// Where an HTTP service listens.
struct Endpoint
{
    /// An IP number; names aren't resolved.
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

} // namespace Http
