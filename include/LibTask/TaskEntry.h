#pragma once

#include <LibCore/Identifier.h>
#include <LibTask/TaskSpec.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Task {

enum class TaskState {
    /// Waits for its first attempt here.
    Submitted,
    /// An attempt is recorded; it may run. The log can't tell whether it does.
    Planned,
    /// The placer has heard from the worker that the attempt runs. Only the placer knows this.
    Running,
    /// An earlier attempt has ended without success, and the task waits for another.
    Evicted,
    Finished,
    Failed,
    Cancelled,
    Held,
    Refused,
    /// Belongs to another failure domain.
    Transferred,
};

/// True for states that a task of this failure domain never leaves.
bool isEnded(TaskState state);

/// The name of \p state in JSON and for people, such as "submitted".
const char *stateName(TaskState state);

/// An attempt whose end isn't recorded.
struct OpenAttempt
{
    std::uint32_t number = 0;
    Core::VmId worker;
    std::uint64_t epoch = 0;

    bool operator==(const OpenAttempt &) const = default;
};

/// What the log says of one task.
struct TaskEntry
{
    TaskSpec spec;
    TaskState state = TaskState::Submitted;
    std::int64_t submittedAtUnixMs = 0;
    std::uint32_t transferNumber = 0;
    std::uint32_t lastAttempt = 0;
    std::uint32_t endedAttempts = 0;
    std::optional<OpenAttempt> openAttempt;
    /// The newest recorded checkpoint; empty if there is none.
    std::string checkpoint;
    bool isCancelRequested = false;
    /// Why the task was held or refused, or why its newest attempt failed.
    std::string reason;
    /// Of a transferred task: its new owner.
    Core::FailureDomainId toDomain;
    /// Of a transferred task: the Submitted record isn't known to have landed there.
    bool isTransferPending = false;
    /// The offset of the record that ended the task.
    std::uint64_t endedAtOffset = 0;

    bool operator==(const TaskEntry &) const = default;

    AttemptId attemptId(std::uint32_t number) const { return { spec.id, number }; }
    /// True if the task waits for an attempt here.
    bool isWaiting() const;
};

} // namespace Task
