#pragma once

namespace Jobs {

class WorkerState;

/// Where a task that is suspected of crashing its workers may start now.
struct IsolationBounds
{
    /// The worker on which other suspects of the job are being started, where this one has to start
    /// as well: a job with several crashing tasks crashes one worker at a time. Null if there is
    /// none.
    WorkerState *workerOfJob = nullptr;
    /// The suspect may start on a worker where no suspect is being started yet.
    bool mayBegin = false;
    /// The suspect may start beside suspects of other jobs that may do so, too.
    bool mayShare = false;

    /// False if the suspect has to wait until other suspects have survived their starts.
    bool mayStart() const { return workerOfJob != nullptr || mayBegin || mayShare; }

    bool operator==(const IsolationBounds &) const = default;
};

} // namespace Jobs
