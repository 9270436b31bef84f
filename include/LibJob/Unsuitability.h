#pragma once

namespace Jobs {

/// Why a worker can't accept a task now. If several reasons apply, the one that is listed first
/// here counts.
enum class Unsuitability {
    None,
    OtherService,
    /// The worker's failure domain is out of service.
    OutOfService,
    Draining,
    MissingLabel,
    /// The worker doesn't answer, its runs, what they request or its clock aren't known yet, or
    /// ownership hasn't been proven since the first contact with it.
    Unknown,
    /// The store is unreachable and the job's durable record doesn't list the worker.
    NotRecorded,
    /// The worker recently failed a task, or rejected or didn't answer a start.
    Avoided,
    /// The worker runs the maximum number of the step's tasks.
    TooManyOfStep,
    /// The worker lacks the free capacity. All reasons before this one would remain if it had it.
    NoRoom,
    /// The worker's capacity is reserved for another task; see CapacityReservations.
    Reserved,
    /// Another run on the worker could be the cause if the task crashed it, or the other way round.
    NotIsolated,
    /// The task would push a serving task on the worker above its target.
    Disturbing,
};

/// Returns the reason as a log key, such as `no-room`.
const char *unsuitabilityText(Unsuitability reason);

} // namespace Jobs
