#pragma once

#include <LibCore/Time.h>
#include <LibLease/Incarnation.h>

#include <cstddef>

namespace Lease {

/// The settings of a LeaseManager. \c driftPerThousand must cover every pair of clocks. While new
/// settings are rolled out, the durations may differ between VMs, except for \c logSilenceBound.
struct LeaseSettings
{
    Incarnation self;
    /// How long a promise is valid. Several renewal intervals, so that the loss of one message
    /// doesn't end the lease.
    Core::Duration leaseLength = std::chrono::milliseconds(2500);
    Core::Duration renewInterval = std::chrono::milliseconds(800);
    /// The holder removes a witness that hasn't responded for this long.
    Core::Duration witnessTimeout = std::chrono::milliseconds(1700);
    /// The holder adds a new VM as a witness after it has been reachable for this long.
    Core::Duration joinDelay = std::chrono::milliseconds(1000);
    /// The time between the claims of witnesses that suspect the holder at the same time.
    Core::Duration claimDelay = std::chrono::milliseconds(150);
    /// If an append has no outcome for this long, another one is sent.
    Core::Duration appendRetryDelay = std::chrono::milliseconds(1000);
    /// Claims and witness sets are sent only if the end of the stream was read within this time.
    Core::Duration maximumLogAge = std::chrono::milliseconds(2000);
    /// A holder stops when it hasn't read the end of the stream for this long. This is the longest
    /// log outage during which a failure domain continues to work, and the wait before a takeover
    /// when the holder and all witnesses have died.
    Core::Duration logSilenceBound = std::chrono::minutes(10);
    /// The time between snapshot records; must be well below the log's retention.
    Core::Duration snapshotInterval = std::chrono::minutes(10);
    /// The maximum rate by which one VM's clock runs faster than another's, in thousandths.
    int driftPerThousand = 10;
    /// How many VMs may have a reserved minimum share; at most the number of minimum shares that
    /// fit into a backend server's slots.
    std::size_t maximumReservations = 8;

    /// How long a VM must wait by its own clock until \p length has certainly passed by a peer's
    /// clock.
    Core::Duration withDriftAllowance(Core::Duration length) const;
};

} // namespace Lease
