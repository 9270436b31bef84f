#pragma once

#include <LibCore/Identifier.h>

#include <compare>
#include <string>

namespace Lease {

/// One run of the daemon on a VM. A restarted process has forgotten what it promised, so it is
/// another incarnation and no witness until a record names it.
struct Incarnation
{
    Core::VmId vm;
    /// A random word that the shell draws at start.
    std::string run;

    auto operator<=>(const Incarnation &) const = default;
};

} // namespace Lease
