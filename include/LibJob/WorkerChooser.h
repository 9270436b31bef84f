#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibJob/CapacityIndex.h>
#include <LibJob/CapacityReservations.h>
#include <LibJob/IsolationBounds.h>
#include <LibJob/OwnedJob.h>
#include <LibJob/SlowdownModel.h>
#include <LibJob/Unsuitability.h>
#include <LibJob/WorkerState.h>

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace Jobs {

/// The requirements of a task on its worker.
struct PlacementRequest
{
    const OwnedJob *job = nullptr;
    const StepSpec *step = nullptr;
    ImageIndex image = 0;
    TaskName task;
    ServiceId service;
    /// The worker where the task failed last; avoided if possible.
    Core::VmId failedOn;
    /// Restricts the choice to workers that the job's durable record lists.
    bool requiresDurableWorker = false;
    /// The task may be placed beside serving tasks whose targets it violates.
    bool mayExceedTargets = false;
    /// The task is suspected of crashing its workers. It runs where no other run could be the cause
    /// of a crash, and where a crash would do the least harm.
    bool isSuspect = false;
    /// Meaningful for suspects only.
    IsolationBounds isolation = {};
    /// The long-running task was interrupted and has been away for longer than allowed.
    bool isOverdue = false;
    /// Only the worker on which the task has a reservation comes into question.
    bool mayOnlyUseReservation = false;
    /// The owner's last proof of ownership. Workers contacted for the first time after it are
    /// excluded.
    Core::Instant provenAt = {};
    const std::set<Core::FailureDomainId> *outOfService = nullptr;
    Core::Instant now = {};
};

/// Chooses the worker for one task by best fit, so that capacity for large tasks remains.
/// Best-effort tasks go to the worker with the most idle processors, but not beside serving tasks
/// that they would push above their targets.
class WorkerChooser
{
public:
    WorkerChooser(const SlowdownModel &slowdownModel, const CapacityReservations &reservations,
                  const CapacityIndex &capacityIndex)
        : m_slowdownModel(slowdownModel)
        , m_reservations(reservations)
        , m_capacityIndex(capacityIndex)
    {
    }

    /// Returns the worker that is reserved for the task if it is suitable; otherwise the suitable
    /// worker with the least cost, the first in the list if several have it; null if no worker is
    /// suitable. For an overdue task, workers that are reserved for others come last.
    WorkerState *choose(const PlacementRequest &request) const;
    /// Returns the worker on which the task should have a reservation: of those that only lack the
    /// capacity, and will have it once short tasks have ended, the one where the least part of
    /// these must end. Null if there is none.
    WorkerState *chooseToReserve(const std::vector<WorkerState *> &workers,
                                 const PlacementRequest &request) const;
    /// True if a reservation on the worker still leads to a place for the task.
    bool isReservationUseful(WorkerState &worker, const PlacementRequest &request) const;
    Unsuitability unsuitability(WorkerState &worker, const PlacementRequest &request) const;
    /// True if nothing has been heard from the worker for so long that it must be asked before a
    /// long-running task starts there: an unanswered start keeps the task away until the lease has
    /// ended that the start would have been granted.
    static bool isUnheard(const WorkerState &worker, const PlacementRequest &request);
    /// Cost of the task on a suitable worker: the base cost by which CapacityIndex orders the
    /// workers, and additions that aren't negative.
    double cost(WorkerState &worker, const PlacementRequest &request) const;
    /// Returns the number of workers for each reason against the task, for the log.
    std::string explain(const std::vector<WorkerState *> &workers,
                        const PlacementRequest &request) const;

    /// Returns the workers that could run the task but for \p reason, and for those that come after
    /// it in Unsuitability.
    std::vector<WorkerState *> unsuitableFor(Unsuitability reason,
                                             const std::vector<WorkerState *> &workers,
                                             const PlacementRequest &request) const;
    /// True if a crash of \p left would do less harm than one of \p right.
    static bool isLessHarmful(const WorkerState &left, const WorkerState &right);

    /// Number of looks at a worker so far.
    std::int64_t looks() const { return m_looks; }

private:
    /// The capacity of the worker that isn't reserved for others.
    Core::Resources availableResources(const WorkerState &worker,
                                       const PlacementRequest &request) const;
    /// Returns the workers of the service with the processors that the task needs, by base cost.
    std::span<const CapacityIndex::Entry>
    withEnoughProcessors(const PlacementRequest &request) const;
    WorkerState *chooseForSuspect(const PlacementRequest &request) const;
    WorkerState *chooseByCost(const PlacementRequest &request) const;
    /// Returns the suitable worker with the least cost among those with reservations.
    WorkerState *chooseAmongReserved(const PlacementRequest &request) const;
    /// Cost of a serving task beside serving tasks of other images.
    static double colocatedImagesCost(const WorkerState &worker, ImageIndex image);
    /// Returns the expected utilization of a serving task beside the best-effort tasks on the
    /// worker, as a fraction of the utilization at which it just meets its target; 0 without
    /// best-effort tasks.
    double utilizationAsServing(const WorkerState &worker, const PlacementRequest &request) const;
    /// True if the best-effort task would push a serving task on the worker above the part
    /// `maxTargetUtilization` of the utilization at which its target is just met.
    bool wouldExceedTarget(WorkerState &worker, const PlacementRequest &request) const;
    const ServingForecast &forecast(WorkerState &worker) const;

    const SlowdownModel &m_slowdownModel;
    const CapacityReservations &m_reservations;
    const CapacityIndex &m_capacityIndex;
    mutable std::int64_t m_looks = 0;
};

} // namespace Jobs
