#pragma once

#include <LibCore/Time.h>

namespace Lease {

/// The settings of a MembershipManager; the same on all entry VMs of a failure domain.
struct MembershipSettings
{
    /// How long a member may use its share of the unreserved slots after its last acknowledgement.
    /// Longer than a takeover, so that members keep their shares when the holder dies.
    Core::Duration memberLeaseLength = std::chrono::milliseconds(4000);
    /// How long a member without a connection to the holder may use its minimum share.
    Core::Duration minimumShareDuration = std::chrono::minutes(10);
    /// The maximum time for which a backend server works on a request whose entry VM died.
    Core::Duration maximumRequestDuration = std::chrono::seconds(30);
    /// The minimum share: the slots and connections of each backend server that a member may use
    /// even without a connection to the holder.
    int minimumSlots = 1;
    int minimumConnections = 8;
    /// The minimum time between two changes of the members' weights.
    Core::Duration weightUpdateInterval = std::chrono::seconds(30);
    /// Weights follow the members' demand only if its sum is at least this many slots.
    int minimumDemand = 32;

    /// The sum of the weights of all members, except for rounding.
    static constexpr int weightSum = 16;
    /// Weights are changed only if one of them differs by at least this much, so that small
    /// fluctuations don't cause records.
    static constexpr int weightHysteresis = 2;
    /// The maximum demand that a member can report, in slots.
    static constexpr int maximumDemand = 1'000'000;
};

} // namespace Lease
