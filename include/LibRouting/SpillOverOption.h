#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

namespace Routing {

/// The callers' door of another failure domain.
struct SpillOverOption
{
    Core::FailureDomainId failureDomain;
    /// The round trip that the hop adds.
    Core::Duration extraLatency {};
    bool isAccepting = false;

    bool operator==(const SpillOverOption &) const = default;
};

} // namespace Routing
