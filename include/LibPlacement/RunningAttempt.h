#pragma once

#include <LibPlacement/ClassTable.h>
#include <LibPlacement/WorkerSlot.h>
#include <LibRules/RuleSet.h>
#include <LibTask/TaskSpec.h>

#include <string>

namespace Placement {

/// An attempt that holds a reservation, from the decision to start it until its proven end.
struct RunningAttempt
{
    /// The payload is left out.
    Task::TaskSpec spec;
    /// Number 0 stands for a decided start that isn't named yet.
    Task::AttemptId attempt;
    WorkerSlot worker = 0;
    ClassIndex classIndex = 0;
    bool isLatencyCritical = false;
    /// Its eviction is decided.
    bool isStopping = false;
    int throttlePercent = 100;
    /// The start or the newest checkpoint; what came later is lost by an eviction.
    Core::Instant progressSavedAt;
    std::string checkpoint;
    Core::Resources used;
    /// Kept until the attempt starts, in case it is abandoned.
    Core::Instant submittedAt;
    std::uint32_t endedAttempts = 0;

    bool operator==(const RunningAttempt &) const = default;

    bool isNamed() const { return attempt.number != 0; }
    Rules::TaskKind kind() const
    {
        return isLatencyCritical ? Rules::TaskKind::LatencyCritical : Rules::TaskKind::Batch;
    }
    bool isEvictable() const { return !isLatencyCritical && !isStopping && isNamed(); }
};

} // namespace Placement
