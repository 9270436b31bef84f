#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibPlatform/StopMode.h>
#include <LibTask/TaskSpec.h>

#include <cstdint>
#include <optional>
#include <string>

namespace Task {

enum class Stage {
    /// Has no open attempt.
    Waiting,
    /// The AttemptPlanned record is on its way; nothing was sent to the worker.
    Planning,
    /// The AttemptPlanned record has landed; nothing was sent to the worker.
    Recorded,
    /// The attempt may run.
    Started,
    /// The record that ends the task is on its way.
    Closing,
};

/// A stop that was decided and isn't proven.
struct StopOrder
{
    Platform::StopMode mode = Platform::StopMode::Kill;
    Core::Instant decidedAt;
    Core::Instant nextCommand;
    std::string reason;
};

/// What a holder knows of one live task, ahead of what it has read back from the log.
struct TenureTask
{
    TaskSpec spec;
    Stage stage = Stage::Waiting;
    /// The scheduler has it among its waiting tasks.
    bool isInScheduler = false;
    std::uint32_t transferNumber = 0;
    std::uint32_t lastAttempt = 0;
    std::uint32_t endedAttempts = 0;
    std::string checkpoint;
    bool isCancelRequested = false;
    Core::Instant submittedAt;

    // The rest speaks of the open attempt.
    Core::VmId worker;
    std::string reason;
    /// The worker has said that it runs.
    bool isSeenRunning = false;
    /// A report to a renewal that was sent before this proves nothing by its silence.
    Core::Instant absenceProvesFrom;
    /// The latest time at which the attempt's lease, by any holder's grant, may lapse.
    Core::Instant latestLapse;
    /// No bytes of its start leave after this.
    Core::Instant startNotAfter;
    std::optional<StopOrder> stop;
    /// The failure domain for which it is being stopped; empty if it isn't.
    Core::FailureDomainId movesTo;

    AttemptId attempt() const { return { spec.id, lastAttempt }; }
    bool isOpen() const
    {
        return stage == Stage::Planning || stage == Stage::Recorded || stage == Stage::Started;
    }
};

} // namespace Task
