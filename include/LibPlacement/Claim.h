#pragma once

#include <LibPlacement/Scheduler.h>
#include <LibPlacement/WorkerSlot.h>

namespace Placement {

enum class ClaimKind {
    /// Batch attempts are being evicted for the task.
    Preemption,
    /// What ends on the worker by itself is kept for the task.
    Drain,
};

/// Room on a worker that is kept for a waiting task until enough of it is free.
struct Claim
{
    WaitingTask task;
    WorkerSlot worker = 0;
    ClaimKind kind = ClaimKind::Drain;
    Rules::TaskKind taskKind = Rules::TaskKind::Batch;
    Core::Instant waitingSince;
    /// When another worker is tried.
    Core::Instant deadline;

    bool operator==(const Claim &) const = default;
};

} // namespace Placement
