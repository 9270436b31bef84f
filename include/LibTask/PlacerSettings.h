#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibTask/TaskTable.h>

#include <cstddef>
#include <cstdint>

namespace Task {

using namespace std::chrono_literals;

/// Switches that tests turn off to show what each rule is for. All are on in the product.
struct PlacerGuards
{
    /// A start is sent only after its AttemptPlanned record has landed.
    bool isRecordedBeforeStart = true;
    /// A new holder starts nothing on a worker that it hasn't heard from.
    bool isWorkerHeardBeforeStart = true;
    /// An attempt on a silent worker counts as running until its lease has certainly lapsed.
    bool isLapseAwaited = true;
    /// A start whose outcome is unknown counts as possibly running.
    bool isUnknownStartCounted = true;
    /// A report without an attempt proves its end only after every start has left the network.
    bool isFlightAwaited = true;
    /// Nothing is sent after the holder's lease deadline.
    bool isLeaseChecked = true;
    /// The rules are looked at again just before a start is sent.
    bool areRulesCheckedAtStart = true;
    /// The state of the worker is looked at again just before a start is sent.
    bool isWorkerCheckedAtStart = true;
    /// An ended attempt is acknowledged only after its AttemptEnded record has landed.
    bool isEndRecordedBeforeAcknowledgement = true;
    /// A worker on which an unknown attempt was found gets no start until that has ended.
    bool isUnknownAttemptCounted = true;
    /// A cancelled or evicted attempt keeps its room until its stop is proven.
    bool isStopProvenBeforeRoomIsFreed = true;

    bool operator==(const PlacerGuards &) const = default;
};

struct PlacerSettings
{
    Core::FailureDomainId domain;
    /// Tells this entry VM's snapshots apart.
    Core::VmId self;

    /// How long a task goes on without a renewal. The same on all entry VMs of the domain.
    Core::Duration taskLeaseLength = 30s;
    /// How much later than by our clock a task lease may lapse by the worker's.
    Core::Duration driftAllowance = 1s;
    /// How long after it was sent a command may still reach its worker.
    Core::Duration flightAllowance = 1500ms;
    /// How long a start may wait in this process before it is given up.
    Core::Duration startPatience = 1s;
    /// The time between two renewals of one worker.
    Core::Duration renewInterval = 2s;
    /// The time after which an append of unknown outcome, or that was refused, is repeated.
    Core::Duration appendRetryInterval = 500ms;
    /// The time after which a stop that hasn't been proven is commanded again.
    Core::Duration stopRetryInterval = 3s;
    /// How long an attempt may take for its checkpoint before its lease isn't renewed any more.
    Core::Duration checkpointPatience = 60s;

    std::size_t maximumBatchRecords = 256;
    std::size_t maximumStartsPerPoll = 64;
    /// How many tasks a second leave for other failure domains.
    double transfersPerSecond = 20;
    /// How many tasks may be on their way to other failure domains at once.
    std::size_t maximumTransfers = 64;
    /// The time after which an append to another failure domain's stream is repeated.
    Core::Duration transferRetryInterval = 1s;
    /// After so many failed attempts a task has failed.
    std::uint32_t maximumFailedAttempts = 20;

    /// A snapshot is written at least so often; at most a third of the log's retention.
    Core::Duration snapshotInterval = 10min;
    /// The time after which a snapshot that hasn't been read back whole is written again.
    Core::Duration snapshotRetryInterval = 30s;
    /// A snapshot is written at the latest after so many records.
    std::uint64_t snapshotEveryRecords = 20000;

    PlacerGuards guards;
    TableGuards tableGuards;

    bool operator==(const PlacerSettings &) const = default;
};

} // namespace Task
