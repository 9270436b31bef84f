#pragma once

#include <LibCore/Identifier.h>

#include <compare>
#include <string>

namespace Lease {

/// One run of the daemon on a VM. A restarted process doesn't know the promises that it made
/// before, so it is a different incarnation and isn't a witness until a record names it.
struct Incarnation
{
    Core::VmId vm;
    /// A random identifier that is chosen when the process starts.
    std::string runId;

    auto operator<=>(const Incarnation &) const = default;
};

} // namespace Lease
