#pragma once

namespace Jobs {

class WorkerState;

/// Is told when the part of a worker's state that it depends on may have changed.
class WorkerObserver
{
public:
    virtual ~WorkerObserver() = default;
    virtual void onWorkerChanged(WorkerState &worker) = 0;
};

} // namespace Jobs
