#pragma once

#include <LibCore/Identifier.h>
#include <LibTask/AttemptReport.h>
#include <LibTask/TaskEntry.h>
#include <LibTask/TaskSpec.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace Task {

/// A task enters the failure domain, submitted by a caller or transferred from another failure
/// domain. Any entry VM may write this record.
struct Submitted
{
    TaskSpec spec;
    std::int64_t submittedAtUnixMs = 0;
    /// How many times the task was transferred between failure domains; 0 if a caller submits it. A
    /// record for a known task is a duplicate unless the task was transferred away and this number
    /// is higher than the known one.
    std::uint32_t transferNumber = 0;
    /// The checkpoint from which a transferred task resumes; empty if it starts from the beginning.
    std::string checkpoint {};
    /// The newest attempt number in earlier failure domains; the next attempt gets the number after
    /// it.
    std::uint32_t lastAttempt = 0;
    /// How many attempts have ended in earlier failure domains.
    std::uint32_t endedAttempts = 0;
    /// See TaskEntry::lostAttempts.
    std::uint32_t lostAttempts = 0;

    bool operator==(const Submitted &) const = default;
};

/// From this record on the attempt may be running on `worker`.
struct AttemptPlanned
{
    AttemptId attempt;
    Core::VmId worker;

    bool operator==(const AttemptPlanned &) const = default;
};

/// The planned attempt never ran and never will.
struct AttemptAbandoned
{
    AttemptId attempt;
    std::string reason;

    bool operator==(const AttemptAbandoned &) const = default;
};

/// The attempt is confirmed to have ended; `phase` is never Running.
struct AttemptEnded
{
    AttemptId attempt;
    AttemptPhase phase = AttemptPhase::Stopped;
    std::string checkpoint;
    std::string detail;
    /// The task has failed and gets no further attempt; never true with phase Finished.
    bool isFinal = false;
    /// The attempt was lost with its worker before a report had shown it running.
    bool wasLost = false;

    bool operator==(const AttemptEnded &) const = default;
};

/// A caller or an operator has requested cancellation. Any entry VM may write this record.
struct CancelRequested
{
    Core::TaskId task;

    bool operator==(const CancelRequested &) const = default;
};

/// The task was cancelled; no attempt of it is running.
struct Cancelled
{
    Core::TaskId task;

    bool operator==(const Cancelled &) const = default;
};

/// The task gets no further attempt, because it failed on too many workers, or because it was
/// planned before and no longer fits on any worker.
struct Held
{
    Core::TaskId task;
    std::string reason;

    bool operator==(const Held &) const = default;
};

/// The task doesn't fit on any worker; no attempt of it was ever planned.
struct Refused
{
    Core::TaskId task;
    std::string reason;

    bool operator==(const Refused &) const = default;
};

/// From this record on the task belongs to `toDomain`.
struct TransferOut
{
    Core::TaskId task;
    Core::FailureDomainId toDomain;
    /// The transfer number of the Submitted record for the stream of `toDomain`.
    std::uint32_t transferNumber = 0;

    bool operator==(const TransferOut &) const = default;
};

/// The Submitted record was appended to the stream of the other failure domain.
struct TransferDone
{
    Core::TaskId task;
    std::uint32_t transferNumber = 0;

    bool operator==(const TransferDone &) const = default;
};

/// One part of a snapshot of the task table.
struct SnapshotPart
{
    std::string snapshotId;
    /// The snapshot covers all records below this offset.
    std::uint64_t coversUntil = 0;
    /// The epoch of the newest lease claim below `coversUntil`.
    std::uint64_t tableEpoch = 0;
    /// The index of this part, beginning at 0.
    std::uint32_t part = 0;
    /// The number of parts of the snapshot.
    std::uint32_t parts = 1;
    std::vector<TaskEntry> entries;

    bool operator==(const SnapshotPart &) const = default;
};

using TaskRecordBody
    = std::variant<Submitted, AttemptPlanned, AttemptAbandoned, AttemptEnded, CancelRequested,
                   Cancelled, Held, Refused, TransferOut, TransferDone, SnapshotPart>;

/// One change of a task, or a part of a snapshot, in the stream of a failure domain.
struct TaskRecord
{
    /// Identifies the record; duplicates of the record have the same id.
    std::string id;
    /// The epoch of the placer's lease that the writer held, which acts as a fencing token; 0 for
    /// records that any entry VM may write.
    std::uint64_t epoch = 0;
    TaskRecordBody body;

    bool operator==(const TaskRecord &) const = default;

    /// Creates a record whose id is derived from \p body and \p epoch.
    static TaskRecord create(std::uint64_t epoch, TaskRecordBody body);
};

} // namespace Task
