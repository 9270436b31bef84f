#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibPlatform/StopMode.h>
#include <LibTask/TaskSpec.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Task {

enum class TaskStage {
    /// The task has no open attempt.
    Waiting,
    /// The AttemptPlanned record is being appended; nothing was sent to the worker.
    Planning,
    /// The AttemptPlanned record was appended; nothing was sent to the worker.
    Recorded,
    /// This holder has issued the start, or an earlier one may have; the attempt may be running.
    Started,
    /// The record that ends or transfers the task is being appended.
    Ending,
};

/// A stop that was requested and isn't confirmed yet.
struct StopRequest
{
    Platform::StopMode mode = Platform::StopMode::Kill;
    Core::Instant requestedAt;
    Core::Instant nextSendAt;
    std::string reason;
};

/// A lease holder's state of one task that hasn't ended. It includes changes whose records the
/// holder hasn't read back from the log yet.
struct LiveTask
{
    TaskSpec spec;
    TaskStage stage = TaskStage::Waiting;
    /// True if the task is in the scheduler's list of waiting tasks.
    bool isInScheduler = false;
    std::uint32_t transferNumber = 0;
    std::uint32_t lastAttempt = 0;
    std::uint32_t endedAttempts = 0;
    /// See TaskEntry::lostAttempts.
    std::uint32_t lostAttempts = 0;
    std::string checkpoint;
    bool isCancelRequested = false;
    Core::Instant submittedAt;

    // The members below describe the open attempt.
    Core::VmId worker;
    /// A human-readable reason why the attempt is on this worker.
    std::string reason;
    /// True if the worker has reported the attempt as running.
    bool isReportedRunning = false;
    /// If a report doesn't contain the attempt, the attempt has ended, provided that the renewal
    /// that requested the report was not sent before this time.
    Core::Instant absenceConclusiveFrom;
    /// The latest time at which the attempt's lease may expire, whichever holder granted it.
    Core::Instant latestLeaseExpiry;
    /// The attempt's start isn't sent after this time.
    Core::Instant startSendDeadline;
    std::optional<StopRequest> stop;
    /// The failure domain to which the task is transferred once the attempt has stopped; empty if
    /// no transfer is intended.
    Core::FailureDomainId targetDomain;

    AttemptId attempt() const { return { spec.id, lastAttempt }; }
    bool isOpen() const
    {
        return stage == TaskStage::Planning || stage == TaskStage::Recorded
            || stage == TaskStage::Started;
    }
};

} // namespace Task
