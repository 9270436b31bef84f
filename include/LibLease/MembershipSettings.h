#pragma once

#include <LibCore/Time.h>

namespace Lease {

/// The settings of a MembershipManager; the same on all entry VMs of a failure domain.
struct MembershipSettings
{
    /// How long a member may use its share of the remainder after its last acknowledgement. Longer
    /// than a takeover, so that shares outlive the holder.
    Core::Duration memberLeaseLength = std::chrono::milliseconds(4000);
    /// How long a member that is cut off may serve from its floor.
    Core::Duration minimumShareDuration = std::chrono::minutes(10);
    /// The longest time that a backend server works on a request whose entry VM died.
    Core::Duration maximumRequestDuration = std::chrono::seconds(30);
    /// The part of each backend server's limits that a member keeps while it is cut off.
    int minimumSlots = 1;
    int minimumConnections = 8;
    /// The shortest time between two changes of the members' weights.
    Core::Duration weightUpdateInterval = std::chrono::seconds(30);
    /// Weights follow the members' demand only if it comes to this many slots together.
    int minimumDemand = 32;

    /// What the weights of all members add up to, but for rounding.
    static constexpr int weightSum = 16;
    /// Weights are changed if one is off by this much, so that noise causes no records.
    static constexpr int weightHysteresis = 2;
    /// The most slots that a member's demand may name.
    static constexpr int maximumDemand = 1'000'000;
};

} // namespace Lease
