#pragma once

#include <LibCore/Time.h>

#include <cstdint>

namespace Jobs {

/// Time limits of the job scheduler.
struct SchedulerSettings
{
    /// Duration of the lease that a renewal or start grants to a worker's tasks.
    Core::Duration lease = std::chrono::seconds(6);
    /// The longest lease that a worker grants, whatever deadline a command names. A deadline on the
    /// clock of a worker's former process means nothing on that of its next one.
    Core::Duration maxLease = std::chrono::seconds(6);
    /// Leases end at the latest this long after the owner's last proof of ownership. It is the
    /// longest outage of the store that running tasks survive, less the time from one proof to the
    /// next, and how long the next owner waits for a worker that doesn't answer.
    Core::Duration maxLeaseAfterProof = std::chrono::milliseconds(7200);
    /// Maximum drift of a worker's clock from the owner's, as a fraction of the elapsed time.
    double clockDrift = 0.02;
    /// Error of clocks and timers beyond their drift.
    Core::Duration clockSlack = std::chrono::milliseconds(150);
    /// How long an owner acts after its last proof of ownership, which is a successful append to
    /// the store.
    Core::Duration ownershipProofTimeout = std::chrono::seconds(4);
    /// An answer to a renewal that is later by this time than the worker may delay it is overdue.
    Core::Duration overdueAnswer = std::chrono::milliseconds(250);
    /// How long a worker may delay its answer to a renewal until a run ends.
    Core::Duration renewalWait = std::chrono::milliseconds(1000);
    /// How long after it was sent a start command may be delivered to a worker.
    Core::Duration startDeliveryTime = std::chrono::milliseconds(1000);
    /// Capacity is reserved for a long-running task from this time before the end of the wait for
    /// its former run: about as long as short tasks take to leave the capacity.
    static constexpr Core::Duration reservationTime = std::chrono::milliseconds(2000);
    /// Minimum interval between two renewals of one worker.
    Core::Duration renewalInterval = std::chrono::milliseconds(110);
    /// Interval between renewals of a worker that doesn't answer.
    Core::Duration unresponsiveRenewalInterval = std::chrono::milliseconds(400);
    /// How long a worker that failed a task, or rejected or didn't answer a start, gets no further
    /// task; after a failed one, overdue long-running tasks excepted.
    Core::Duration failureBackoff = std::chrono::milliseconds(300);
    /// How long a worker gets no further task after several failures without a success in between.
    Core::Duration quarantine = std::chrono::seconds(6);
    /// A stop without effect is sent again after this time.
    Core::Duration stopRetryInterval = std::chrono::milliseconds(500);
    /// A task without progress for this long is stopped and started elsewhere. Time during which
    /// the task is throttled, or is a best-effort task without processor time, doesn't count.
    Core::Duration stallTimeout = std::chrono::milliseconds(2500);
    /// How long an ended job is kept, so that callers can query its state.
    Core::Duration retention = std::chrono::seconds(120);
    /// How long before its due time an occurrence may start.
    Core::Duration earlyStart = std::chrono::milliseconds(0);

    auto operator<=>(const SchedulerSettings &) const = default;

    /// Upper bound of the time that \p length on a worker's clock takes on the owner's.
    Core::Duration longestOnOwnersClock(Core::Duration length) const
    {
        const std::chrono::duration<double, std::micro> drifted
            = std::chrono::duration<double, std::micro>(length) * (1 + clockDrift);
        return std::chrono::duration_cast<Core::Duration>(drifted) + clockSlack;
    }
};

} // namespace Jobs
