#pragma once

#include <LibCore/Time.h>
#include <LibRouting/RouterSettings.h>

#include <string>
#include <vector>

namespace RoutingBenchmark {

/// The size of one user's service.
struct Shape
{
    std::string name;
    /// Per failure domain.
    std::vector<int> entryVms;
    std::vector<int> servers;
    /// One way, between failure domains.
    Core::Duration domainDelay {};
};

/// One way to route: a router's settings and what it is given.
struct Variant
{
    std::string name;
    Routing::RouterSettings settings;
    /// False gives every entry VM as many slots and connections as it likes.
    bool hasLimits = true;
    bool hasSpillOver = true;
};

/// Load and faults of one run. Times count from its beginning.
struct Scenario
{
    /// The offered load as a part of what all backend servers can do.
    double load = 0;
    /// The first team asks for so many times its share.
    double busyTeamFactor = 1;
    Core::Duration duration = std::chrono::seconds(20);
    /// Results before this are left out.
    Core::Duration measuredFrom = std::chrono::seconds(5);

    /// From the fault on, one in ten servers is so much slower.
    double slowness = 1;
    /// One in ten servers lose their open connections at these times.
    std::vector<Core::Duration> silences {};
    Core::Duration faultAt = std::chrono::seconds(5);
    /// The last failure domain is out between these; nothing if they are equal.
    Core::Duration outFrom {};
    Core::Duration outUntil {};
};

} // namespace RoutingBenchmark
