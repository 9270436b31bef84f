#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibJob/OwnedJob.h>
#include <LibJob/WorkerState.h>

#include <set>
#include <vector>

namespace Jobs {

/// What a task needs of its worker.
struct PlacementNeed
{
    const OwnedJob *job = nullptr;
    const StepSpec *step = nullptr;
    TaskName task;
    ServiceId service;
    /// Where the task failed last.
    Core::VmId failedOn;
    /// Only workers that the job's durable record names.
    bool isDurableOnly = false;
};

/// Chooses the worker for one task: the one that fits tightest, so that room for large tasks
/// remains. Serving tasks and fillers are kept apart, since fillers raise the tail latency of what
/// serves beside them.
class WorkerChooser
{
public:
    /// Null if no worker fits.
    WorkerState *choose(const std::vector<WorkerState *> &workers, const PlacementNeed &need,
                        const std::set<Core::FailureDomainId> &outOfService,
                        Core::Instant now) const;

private:
    bool isEligible(const WorkerState &worker, const PlacementNeed &need, Core::Instant now) const;
    double cost(const WorkerState &worker, const PlacementNeed &need) const;
};

} // namespace Jobs
