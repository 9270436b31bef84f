#pragma once

#include <LibCore/Identifier.h>
#include <LibTask/TaskSpec.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Task {

enum class TaskState {
    /// Waits for an attempt; none has run yet.
    Submitted,
    /// An attempt is recorded and may be running; the log doesn't show whether it is.
    Planned,
    /// The worker has reported the attempt as running. Only the lease holder knows this state; it
    /// isn't recorded.
    Running,
    /// An earlier attempt ended without success, and the task waits for another one.
    Evicted,
    Finished,
    Failed,
    Cancelled,
    /// Gets no further attempt, because it failed on too many workers or no longer fits on any.
    Held,
    /// Doesn't fit on any worker; no attempt was ever planned.
    Refused,
    /// Was transferred to another failure domain.
    Transferred,
};

/// True for final states and for Transferred, although a transferred task can still return to this
/// failure domain.
bool isEnded(TaskState state);

/// The name of \p state in JSON and in messages, such as "submitted".
const char *stateName(TaskState state);

/// An attempt whose end isn't recorded.
struct OpenAttempt
{
    std::uint32_t number = 0;
    Core::VmId worker;
    /// The epoch of the lease holder that planned the attempt.
    std::uint64_t epoch = 0;

    bool operator==(const OpenAttempt &) const = default;
};

/// The recorded state of one task.
struct TaskEntry
{
    TaskSpec spec;
    TaskState state = TaskState::Submitted;
    std::int64_t submittedAtUnixMs = 0;
    /// How many times the task was transferred between failure domains.
    std::uint32_t transferNumber = 0;
    /// The number of the newest attempt; 0 if there was none.
    std::uint32_t lastAttempt = 0;
    /// How many attempts have ended in this and earlier failure domains, for whatever reason;
    /// abandoned ones don't count.
    std::uint32_t endedAttempts = 0;
    /// How many of the last attempts in a row were lost with their workers before a report showed
    /// them running.
    std::uint32_t lostAttempts = 0;
    std::optional<OpenAttempt> openAttempt;
    /// The newest recorded checkpoint; empty if there is none.
    std::string checkpoint;
    bool isCancelRequested = false;
    /// Why the task was held or refused, or why its newest attempt ended.
    std::string reason;
    /// The failure domain to which the task was transferred; empty if it wasn't.
    Core::FailureDomainId toDomain;
    /// True if the task was transferred and the Submitted record isn't yet known to be in the
    /// stream of `toDomain`.
    bool isTransferPending = false;
    /// The offset of the record that ended the task, which is TransferDone for a transferred one; 0
    /// until that record is applied.
    std::uint64_t endedAtOffset = 0;

    bool operator==(const TaskEntry &) const = default;

    AttemptId attemptId(std::uint32_t number) const { return { spec.id, number }; }
    /// True if the task waits for its next attempt.
    bool isWaiting() const;
};

} // namespace Task
