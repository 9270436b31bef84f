#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibTask/TaskTable.h>

#include <cstddef>
#include <cstdint>

namespace Task {

using namespace std::chrono_literals;

/// Safety checks of the placer. All are enabled in production. Tests disable single ones to show
/// which failure each of them prevents.
struct PlacerGuards
{
    /// A start is sent only after its AttemptPlanned record was appended to the log.
    bool isRecordedBeforeStart = true;
    /// A new lease holder starts no attempt on a worker before that worker's first report.
    bool isWorkerReportAwaitedBeforeStart = true;
    /// An attempt on an unreachable worker counts as running until its lease must have expired.
    bool isLeaseExpiryAwaited = true;
    /// An attempt whose start had an unknown outcome counts as running.
    bool isUnknownStartTreatedAsRunning = true;
    /// An attempt that is missing from a worker's report counts as ended only if no start of it
    /// could still be in flight when the report was requested.
    bool isDeliveryDelayAwaited = true;
    /// The placer sends nothing after its own lease deadline.
    bool isLeaseChecked = true;
    /// The rules are checked again just before a start is sent.
    bool areRulesCheckedAtStart = true;
    /// The state of the worker is checked again just before a start is sent.
    bool isWorkerCheckedAtStart = true;
    /// An ended attempt is acknowledged to its worker only after its AttemptEnded record was
    /// appended to the log.
    bool isEndRecordedBeforeAcknowledgement = true;
    /// A worker that runs an attempt without a record gets no start until that attempt has ended.
    bool areStartsBlockedByUnrecordedAttempts = true;
    /// The resources of a cancelled or evicted attempt stay reserved until its stop is confirmed.
    bool isStopConfirmedBeforeCapacityIsFreed = true;

    bool operator==(const PlacerGuards &) const = default;
};

struct PlacerSettings
{
    Core::FailureDomainId domain;
    /// The id of this entry VM; part of the ids of the snapshots that it writes.
    Core::VmId self;

    /// How long an attempt keeps running without a lease renewal. Must be the same on all entry VMs
    /// of the failure domain, because a new lease holder assumes that earlier holders granted
    /// leases of this length.
    Core::Duration taskLeaseLength = 30s;
    /// How much later a task lease may expire by the worker's clock than by this VM's clock.
    Core::Duration clockDriftAllowance = 1s;
    /// How long after being sent a command may still reach its worker.
    Core::Duration maximumDeliveryDelay = 1500ms;
    /// How long a command may wait in this process before it is dropped without being sent.
    Core::Duration commandSendTimeout = 1s;
    /// The time between two lease renewals at one worker.
    Core::Duration renewInterval = 2s;
    /// The delay before retrying an append that failed or had an unknown outcome.
    Core::Duration appendRetryInterval = 500ms;
    /// The time after which a stop that isn't confirmed is sent again.
    Core::Duration stopRetryInterval = 3s;
    /// How long an attempt may take to write its checkpoint. After that its lease isn't renewed any
    /// more and it is killed.
    Core::Duration checkpointTimeout = 60s;

    /// The maximum number of records in one append, not counting a part of a snapshot.
    std::size_t maximumBatchRecords = 256;
    /// The maximum number of attempts that one call of `poll` plans.
    std::size_t maximumStartsPerPoll = 64;
    /// The rate limit of transfers to other failure domains, in tasks per second.
    double transfersPerSecond = 20;
    /// No further transfer to another failure domain begins while this many recorded ones are
    /// pending.
    std::size_t maximumTransfers = 64;
    /// The delay before retrying an append to another failure domain's stream.
    Core::Duration transferRetryInterval = 1s;
    /// A task fails for good when an attempt fails and at least this many of its attempts,
    /// including that one, have ended for whatever reason.
    std::uint32_t maximumFailedAttempts = 20;
    /// A task fails for good after this many successive attempts that were lost with their workers
    /// before a report showed them running: it probably crashes its workers.
    std::uint32_t maximumLostAttempts = 5;

    /// The longest time between two snapshots; must not exceed a third of the log's retention time.
    Core::Duration snapshotInterval = 10min;
    /// The time after which a snapshot that wasn't read back completely is written again.
    Core::Duration snapshotRetryInterval = 30s;
    /// A snapshot is also due after this many records, however recent the last one is.
    std::uint64_t snapshotIntervalRecords = 20000;

    PlacerGuards guards;
    TableGuards tableGuards;

    bool operator==(const PlacerSettings &) const = default;
};

} // namespace Task
