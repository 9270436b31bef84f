#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

namespace Routing {

/// Another failure domain to which requests may be spilled over.
struct SpillOverOption
{
    Core::FailureDomainId failureDomain;
    /// Additional round-trip time.
    Core::Duration extraLatency {};
    bool isAccepting = false;

    bool operator==(const SpillOverOption &) const = default;
};

} // namespace Routing
