#pragma once

namespace Jobs {

/// Why a worker can't take a task now; the first reason that applies.
enum class Unsuitability {
    None,
    OtherService,
    /// Its failure domain is out of service.
    OutOfService,
    Draining,
    MissingLabel,
    /// It didn't answer, or its runs aren't known yet.
    Unknown,
    /// The job's durable record doesn't name it, and the store is out of reach.
    NotRecorded,
    /// It failed tasks lately, or refused them.
    Avoided,
    NoRoom,
    /// Its room is kept for a task that has waited for long.
    Reserved,
    /// So many tasks of the step run there as may.
    TooManyOfStep,
    /// A serving task there would miss its target.
    Disturbing,
};

/// A short word for the log, such as `no-room`.
const char *unsuitabilityText(Unsuitability reason);

} // namespace Jobs
