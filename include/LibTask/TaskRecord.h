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

/// A task enters the failure domain, from a caller or handed over by another failure domain. Any
/// entry VM may write it.
struct Submitted
{
    TaskSpec spec;
    std::int64_t submittedAtUnixMs = 0;
    /// How many times the task has changed its failure domain; 0 from a caller. A record whose
    /// number isn't above the known one is a repetition.
    std::uint32_t transferNumber = 0;
    /// Where a task that was handed over resumes; empty if it starts afresh.
    std::string checkpoint {};
    /// The newest attempt in earlier failure domains; attempt numbers go on from it.
    std::uint32_t lastAttempt = 0;
    /// How many attempts have ended in earlier failure domains.
    std::uint32_t endedAttempts = 0;

    bool operator==(const Submitted &) const = default;
};

/// The attempt may run on `worker` from this record on.
struct AttemptPlanned
{
    AttemptId attempt;
    Core::VmId worker;

    bool operator==(const AttemptPlanned &) const = default;
};

/// The attempt was planned, and certainly never ran and never will.
struct AttemptAbandoned
{
    AttemptId attempt;
    std::string reason;

    bool operator==(const AttemptAbandoned &) const = default;
};

/// The attempt is proven to have ended; `phase` is never Running.
struct AttemptEnded
{
    AttemptId attempt;
    AttemptPhase phase = AttemptPhase::Stopped;
    std::string checkpoint;
    std::string detail;
    /// With phase Failed: the task isn't tried again.
    bool isFinal = false;

    bool operator==(const AttemptEnded &) const = default;
};

/// A caller or operator wants the task to end. Any entry VM may write it.
struct CancelRequested
{
    Core::TaskId task;

    bool operator==(const CancelRequested &) const = default;
};

/// The task ended by cancellation, and no attempt of it runs.
struct Cancelled
{
    Core::TaskId task;

    bool operator==(const Cancelled &) const = default;
};

/// The task isn't tried any more, because it fails wherever it runs.
struct Held
{
    Core::TaskId task;
    std::string reason;

    bool operator==(const Held &) const = default;
};

/// The task can never run; no attempt of it was ever planned.
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
    /// The number of the Submitted record that goes into the stream of `toDomain`.
    std::uint32_t transferNumber = 0;

    bool operator==(const TransferOut &) const = default;
};

/// The Submitted record has landed in the stream of the other failure domain.
struct TransferDone
{
    Core::TaskId task;
    std::uint32_t transferNumber = 0;

    bool operator==(const TransferDone &) const = default;
};

/// One part of a snapshot of the TaskTable.
struct SnapshotPart
{
    std::string snapshotId;
    /// The table as it was before the record at this offset.
    std::uint64_t coversUntil = 0;
    /// The epoch of the newest lease claim below `coversUntil`.
    std::uint64_t tableEpoch = 0;
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
    std::vector<TaskEntry> entries;

    bool operator==(const SnapshotPart &) const = default;
};

using TaskRecordBody
    = std::variant<Submitted, AttemptPlanned, AttemptAbandoned, AttemptEnded, CancelRequested,
                   Cancelled, Held, Refused, TransferOut, TransferDone, SnapshotPart>;

/// One record of the life of tasks in the stream of a failure domain.
struct TaskRecord
{
    /// Equal in every repetition of the same record.
    std::string id;
    /// The epoch of the placer's lease that the writer held; 0 if any entry VM may write it.
    std::uint64_t epoch = 0;
    TaskRecordBody body;

    bool operator==(const TaskRecord &) const = default;

    /// Gives \p body the id that follows from its content.
    static TaskRecord create(std::uint64_t epoch, TaskRecordBody body);
};

} // namespace Task
