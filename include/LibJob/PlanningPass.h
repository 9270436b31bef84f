#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <LibJob/ImageTable.h>
#include <LibJob/OwnedJob.h>
#include <LibJob/StartOrder.h>

#include <cstddef>
#include <vector>

namespace Jobs {

/// A ready step with tasks that wait for workers.
struct WaitingStep
{
    StartRank rank;
    /// Null once the job has been deleted.
    OwnedJob *job = nullptr;
    int occurrence = 0;
    int step = 0;
    /// The job has much more work than others of its queue, and still has a value.
    bool isLarge = false;
    /// Stands for the long-running tasks of the step that were interrupted and haven't run for
    /// longer than allowed, and for no others.
    bool isOverdue = false;
    /// Since when the task of the step that has been interrupted for the longest time is away;
    /// meaningless unless `isOverdue`.
    Core::Instant awaySince = {};
    /// The step comes before others of a lower rank; see PlanningPass.
    bool isPutFirst = false;
    /// Its tasks start only on workers on which they have a reservation.
    bool mayOnlyUseReservations = false;

    /// False once all tasks have a run or are done, and once the job is over or deleted.
    bool isStillWaiting() const;
};

/// What a task needs of a worker.
struct Demand
{
    ServiceId service;
    Core::Resources need;
    bool isBestEffort = false;
    /// The task may run beside serving tasks whose targets it violates.
    bool mayExceedTargets = false;
    /// Affects the placement of best-effort tasks only; the default for others.
    ImageIndex image = 0;

    /// True if each worker that has no place for a task with this demand has none for one with
    /// \p other either.
    bool isCoveredBy(const Demand &other) const;
};

/// One pass over the waiting steps, which may take several calls of the scheduler.
///
/// Steps come in the order of their ranks, except that a few large jobs come before the others of
/// their priority, so that small jobs can't starve them. Before all of them come the steps with
/// overdue tasks, for these tasks only, those that have been interrupted for the longest time
/// before others.
class PlanningPass
{
public:
    PlanningPass() = default;
    PlanningPass(std::vector<WaitingStep> steps, Core::Instant now);

    /// The number of steps, planned ones included.
    std::size_t size() const { return m_steps.size(); }
    bool isOver() const
    {
        return m_next >= m_steps.size() && m_nextPostponed >= m_postponed.size();
    }
    /// The step to plan now; the pass must not be over.
    const WaitingStep &next() const;
    void advance();
    /// Puts the step to plan now behind those of its priority whose customers are within their
    /// shares, since its customer has risen above its share. The step must not be overdue, nor have
    /// been postponed already.
    void postponeAboveShare();
    /// The overdue steps that were planned already and still wait.
    std::vector<WaitingStep> passedOverdue() const;
    /// Inserts a step that can start from now on, by its rank, behind those that were planned.
    void join(const WaitingStep &joining);
    /// Removes a job that is about to be deleted.
    void leave(const OwnedJob &job);

    /// No worker was found for a task with this demand.
    void reject(const Demand &demand) { m_rejected.push_back(demand); }
    /// True if no worker can have a place for a task with this demand, since none had one for
    /// another.
    bool isRejected(const Demand &demand) const;

private:
    void putLargeJobsFirst();
    void putOverdueFirst(Core::Instant now);
    /// True if the next step is one of those that were postponed.
    bool isPostponedNext() const;

    std::vector<WaitingStep> m_steps;
    std::size_t m_next = 0;
    /// The postponed steps in the order of their ranks. They are kept apart from the others: a busy
    /// customer may have thousands of them, and each insertion among the others takes time in
    /// proportion to their number.
    std::vector<WaitingStep> m_postponed;
    std::size_t m_nextPostponed = 0;
    /// The overdue steps are the first ones.
    std::size_t m_overdueCount = 0;
    std::vector<Demand> m_rejected;
};

} // namespace Jobs
