#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibPlatform/StopMode.h>
#include <LibTask/TaskRecord.h>
#include <LibTask/TaskSpec.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Task {

/// Append the records atomically and in this order to the stream of the placer's own failure
/// domain; then call `DomainPlacer::onAppendOutcome`. Only one batch is in flight at a time. A
/// retry of a batch gets a new `batchId`.
struct AppendRecords
{
    std::uint64_t batchId = 0;
    std::vector<TaskRecord> records;

    bool operator==(const AppendRecords &) const = default;
};

/// Start the attempt; then call `DomainPlacer::onStartOutcome`. If sending hasn't begun by
/// `sendDeadline`, send nothing and report NotStarted.
struct StartAttempt
{
    TaskSpec spec;
    AttemptId attempt;
    Core::VmId worker;
    /// The epoch of the sender's lease; must be passed to `onStartOutcome`.
    std::uint64_t epoch = 0;
    /// The checkpoint from which the attempt resumes; empty if it starts from the beginning.
    std::string checkpoint;
    /// The attempt's first lease ends here unless it is renewed.
    Core::Instant leaseDeadline;
    Core::Instant sendDeadline;
    std::string reason;

    bool operator==(const StartAttempt &) const = default;
};

/// Stop the attempt. No outcome is reported back: only the worker's report or the expiry of the
/// attempt's lease confirms the stop. If sending hasn't begun by `sendDeadline`, send nothing.
struct StopAttempt
{
    Core::VmId worker;
    AttemptId attempt;
    Platform::StopMode mode = Platform::StopMode::Kill;
    Core::Instant sendDeadline;
    std::string reason;

    bool operator==(const StopAttempt &) const = default;
};

/// Limit the attempt to `percent` of its declared processors; 100 removes the limit. If sending
/// hasn't begun by `sendDeadline`, send nothing.
struct ThrottleAttempt
{
    Core::VmId worker;
    AttemptId attempt;
    int percent = 100;
    Core::Instant sendDeadline;
    std::string reason;

    bool operator==(const ThrottleAttempt &) const = default;
};

/// Renew the leases of `attempts` until `leaseDeadline` and request the worker's report; then call
/// `DomainPlacer::onWorkerReport` or `onWorkerUnreachable` with `number`. The worker need not
/// report the attempts in `acknowledged` any more: they have ended, and their ends are recorded or
/// no record awaits them. If sending hasn't begun by `sendDeadline`, send nothing and call
/// `onWorkerUnreachable`.
struct RenewWorker
{
    Core::VmId worker;
    std::uint64_t number = 0;
    std::vector<AttemptId> attempts;
    Core::Instant leaseDeadline;
    std::vector<AttemptId> acknowledged;
    Core::Instant sendDeadline;

    bool operator==(const RenewWorker &) const = default;
};

/// Append `record` to the stream of `toDomain`; then call `DomainPlacer::onTransferOutcome`.
struct AppendTransfer
{
    Core::FailureDomainId toDomain;
    Core::TaskId task;
    std::uint32_t transferNumber = 0;
    TaskRecord record;

    bool operator==(const AppendTransfer &) const = default;
};

using PlacerAction = std::variant<AppendRecords, StartAttempt, StopAttempt, ThrottleAttempt,
                                  RenewWorker, AppendTransfer>;

enum class AppendOutcome {
    Appended,
    /// Nothing was appended and nothing will be.
    NotAppended,
    /// The records may have been appended or may still be.
    Unknown,
};

enum class StartOutcome {
    Started,
    /// The attempt isn't running and never will.
    NotStarted,
    /// The attempt may be running or may still start.
    Unknown,
};

} // namespace Task
