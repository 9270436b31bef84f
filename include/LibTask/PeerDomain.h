#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>

namespace Task {

/// What another failure domain says that it can take.
struct PeerDomain
{
    Core::FailureDomainId domain;
    /// The sum of what its live workers have free, less what waits for them.
    Core::Resources free;
    /// False if it hasn't been heard from lately; nothing is handed over to it then.
    bool isReachable = false;

    bool operator==(const PeerDomain &) const = default;
};

} // namespace Task
