#pragma once

#include <LibPlacement/ClassTable.h>
#include <LibPlacement/WorkerSlot.h>
#include <LibRules/RuleSet.h>
#include <LibTask/TaskSpec.h>

#include <string>

namespace Placement {

/// An attempt that holds a reservation, from the decision to start it until its end is proven.
struct RunningAttempt
{
    /// The payload is cleared, as the scheduler doesn't need it.
    Task::TaskSpec spec;
    /// The number is 0 from the start decision until attemptStarted() provides the real one.
    Task::AttemptId attempt;
    WorkerSlot worker = 0;
    ClassIndex classIndex = 0;
    bool isLatencyCritical = false;
    /// True once an eviction is decided.
    bool isStopping = false;
    /// The CPU limit as a percentage of the declared CPU; 100 means no limit.
    int throttlePercent = 100;
    /// The time of the start or of the newest checkpoint; an eviction loses the progress since
    /// then.
    Core::Instant progressSavedAt;
    std::string checkpoint;
    /// The smoothed measured usage; the expected usage before the first report.
    Core::Resources used;
    /// Kept, like endedAttempts, to queue the task again with its age if the start is abandoned.
    Core::Instant submittedAt;
    std::uint32_t endedAttempts = 0;

    bool operator==(const RunningAttempt &) const = default;

    bool hasNumber() const { return attempt.number != 0; }
    Rules::TaskKind kind() const
    {
        return isLatencyCritical ? Rules::TaskKind::LatencyCritical : Rules::TaskKind::Batch;
    }
    bool isEvictable() const { return !isLatencyCritical && !isStopping && hasNumber(); }
};

} // namespace Placement
