#pragma once

#include <LibCore/Time.h>
#include <LibLease/Incarnation.h>

#include <cstddef>

namespace Lease {

/// The settings of a LeaseManager. \c driftPerThousand must cover every pair of clocks; the lengths
/// may differ between VMs while new settings are rolled out, but for \c logSilenceBound.
struct LeaseSettings
{
    Incarnation self;
    /// How long a promise lasts. Several renewals long, so that one lost message ends nothing.
    Core::Duration leaseLength = std::chrono::milliseconds(2500);
    Core::Duration renewInterval = std::chrono::milliseconds(800);
    /// The holder drops a witness that has been silent for so long.
    Core::Duration witnessTimeout = std::chrono::milliseconds(1700);
    /// The holder names a newcomer as witness after it has been in reach for so long.
    Core::Duration joinDelay = std::chrono::milliseconds(1000);
    /// The distance between the claims of witnesses that suspect at the same time.
    Core::Duration claimDelay = std::chrono::milliseconds(150);
    /// After so long without an outcome an append is doubted and another one is sent.
    Core::Duration appendRetryDelay = std::chrono::milliseconds(1000);
    /// Claims and changes are sent only if the end of the stream was read within this time.
    Core::Duration maximumLogAge = std::chrono::milliseconds(2000);
    /// A holder stops when it hasn't read the end of the stream for so long. It bounds the log
    /// outage that a domain's work survives, and is the wait when holder and witnesses are all
    /// gone.
    Core::Duration logSilenceBound = std::chrono::minutes(10);
    /// The distance of snapshot records; well below the log's retention.
    Core::Duration snapshotInterval = std::chrono::minutes(10);
    /// The most by which one VM's clock may run faster than another's, in thousandths.
    int driftPerThousand = 10;
    /// How many VMs may have a floor of slots; at most a backend server's slots over the floor.
    std::size_t maximumReservations = 8;

    /// How long another VM must wait to be sure that \p length has passed at its peer.
    Core::Duration withDriftAllowance(Core::Duration length) const;
};

} // namespace Lease
