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

/// Append the records to the failure domain's own stream, all or none, in this order; then call
/// `DomainPlacer::onAppendOutcome`. There is one batch at a time; its repetition has a new number.
struct AppendRecords
{
    std::uint64_t batchId = 0;
    std::vector<TaskRecord> records;

    bool operator==(const AppendRecords &) const = default;
};

/// Start the attempt; then call `DomainPlacer::onStartOutcome`. If no byte has left by `notAfter`,
/// send nothing and say NotDone.
struct StartAttempt
{
    TaskSpec spec;
    AttemptId attempt;
    Core::VmId worker;
    std::uint64_t epoch = 0;
    std::string checkpoint;
    Core::Instant leaseDeadline;
    Core::Instant notAfter;
    std::string reason;

    bool operator==(const StartAttempt &) const = default;
};

/// Stop the attempt. No outcome is awaited: only the worker's report proves the stop.
struct StopAttempt
{
    Core::VmId worker;
    AttemptId attempt;
    Platform::StopMode mode = Platform::StopMode::Kill;
    Core::Instant notAfter;
    std::string reason;

    bool operator==(const StopAttempt &) const = default;
};

/// Limit the attempt to `percent` of its declared processors; 100 lifts the limit.
struct ThrottleAttempt
{
    Core::VmId worker;
    AttemptId attempt;
    int percent = 100;
    Core::Instant notAfter;
    std::string reason;

    bool operator==(const ThrottleAttempt &) const = default;
};

/// Renew the leases of `attempts` and ask for the worker's report; then call
/// `DomainPlacer::onWorkerReport` or `onWorkerUnreachable` with `number`. If no byte has left by
/// `notAfter`, send nothing and say unreachable.
struct RenewWorker
{
    Core::VmId worker;
    std::uint64_t number = 0;
    std::vector<AttemptId> attempts;
    Core::Instant leaseDeadline;
    std::vector<AttemptId> acknowledged;
    Core::Instant notAfter;

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
    Landed,
    /// Certainly nothing was appended.
    NotLanded,
    /// May have landed, or may yet.
    Unknown,
};

enum class StartOutcome {
    Done,
    /// The attempt certainly doesn't run and never will.
    NotDone,
    Unknown,
};

} // namespace Task
