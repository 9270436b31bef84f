#pragma once

namespace Jobs {

/// Why a long-running task doesn't run. If several reasons apply, the one that is listed first here
/// counts.
enum class WaitReason {
    /// A run of the task may still exist on a worker that doesn't answer.
    RunInDoubt,
    /// Starts are held, since the owner's copy of the records is too old.
    StartsHeld,
    /// A former owner may have started the task on a worker that hasn't answered this owner.
    FormerRun,
    /// What the next run depends on isn't durable yet.
    Commit,
    /// The task may have crashed a worker, and runs by itself once others of which this is true
    /// have had their turn.
    OtherSuspects,
    /// The customer's tasks request as much as its limit permits.
    CustomerLimit,
    /// Too many starts haven't been answered yet.
    StartWindow,
    /// No worker can take the task.
    NoWorker,
    /// A worker can take the task in the next pass.
    NextPass,
};

/// Returns the reason as a log value, such as `no-worker`.
const char *waitReasonText(WaitReason reason);

} // namespace Jobs
