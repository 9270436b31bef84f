#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>

namespace Task {

/// The spare resources that another failure domain reports.
struct PeerDomain
{
    Core::FailureDomainId domain;
    /// The result of `DomainPlacer::spareResources` there: the free resources of its workers minus
    /// the demand of its waiting tasks.
    Core::Resources free;
    /// False if it hasn't reported recently; no task is transferred to it then.
    bool isReachable = false;

    bool operator==(const PeerDomain &) const = default;
};

} // namespace Task
