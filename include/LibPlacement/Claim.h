#pragma once

#include <LibPlacement/Scheduler.h>
#include <LibPlacement/WorkerSlot.h>

namespace Placement {

enum class ClaimKind {
    /// Batch attempts on the worker are being evicted to free the capacity.
    Preemption,
    /// Capacity is collected as attempts on the worker end; nothing is evicted.
    Drain,
};

/// Holds capacity of one worker for a waiting task that doesn't fit there yet. The task starts on
/// the worker once enough of the capacity is free.
struct Claim
{
    WaitingTask task;
    WorkerSlot worker = 0;
    ClaimKind kind = ClaimKind::Drain;
    Rules::TaskKind taskKind = Rules::TaskKind::Batch;
    Core::Instant waitingSince;
    /// When the claim expires and the task is queued again, to try another worker.
    Core::Instant deadline;

    bool operator==(const Claim &) const = default;
};

} // namespace Placement
