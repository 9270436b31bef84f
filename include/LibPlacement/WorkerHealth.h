#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibPlacement/SchedulerSettings.h>
#include <LibPlacement/WorkerSlot.h>

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace Placement {

enum class WorkerCondition {
    Healthy,
    /// Gets no attempts.
    Quarantined,
    /// Gets one batch attempt at a time until enough attempts have succeeded.
    OnProbation,
};

/// Tells faulty workers from faulty jobs by which job fails on which worker.
///
/// A failure counts against the worker if the job has succeeded since its first failure or has
/// failed on no other healthy worker; otherwise the job is the likely cause. A worker is
/// quarantined when several jobs count against it and fewer attempts have succeeded there since. A
/// job is held when it has failed on several workers that aren't suspect.
class WorkerHealth
{
public:
    explicit WorkerHealth(const HealthSettings &settings);

    /// Records that an attempt of \p job has succeeded or failed on \p worker.
    void succeeded(const Core::TaskId &job, WorkerSlot worker, Core::Instant now);
    void failed(const Core::TaskId &job, WorkerSlot worker, Core::Instant now);

    /// Begins and ends quarantines. Returns the workers whose condition has changed since the last
    /// call.
    std::vector<WorkerSlot> update(Core::Instant now, std::size_t listedWorkers);

    WorkerCondition condition(WorkerSlot worker) const;
    bool hasFailedOn(const Core::TaskId &job, WorkerSlot worker) const;
    /// The number of workers that aren't suspect on which the job has failed.
    std::size_t failuresOfJob(const Core::TaskId &job) const;
    /// True if the job has failed on so many workers that it is to be held.
    bool isJobFaulty(const Core::TaskId &job, std::size_t listedWorkers) const;
    /// Discards the failures of a job that is being held; they no longer count against any worker.
    void forgetJob(const Core::TaskId &job);

private:
    struct Failure
    {
        WorkerSlot worker = 0;
        Core::Instant at;
    };

    struct JobState
    {
        std::vector<Failure> failures;
        bool hasSucceeded = false;
    };

    struct WorkerState
    {
        WorkerCondition condition = WorkerCondition::Healthy;
        /// The jobs that failed on this worker, each with the time of its first failure there.
        std::map<Core::TaskId, Core::Instant> failedJobs;
        std::vector<Core::Instant> successes;
        Core::Instant quarantinedUntil;
        int quarantines = 0;
        int successesOnProbation = 0;
    };

    WorkerState &stateOf(WorkerSlot worker);
    /// The evidence for and against a worker.
    struct Evidence
    {
        /// The failed jobs that count against the worker.
        std::size_t jobsAgainst = 0;
        /// The successes on the worker since the first of these failures.
        std::size_t successesSince = 0;
    };

    Evidence evidence(WorkerSlot worker) const;
    /// True if the failure of \p job on \p worker counts against the worker.
    bool countsAgainst(const Core::TaskId &job, WorkerSlot worker) const;
    /// True if the worker is in quarantine or on probation, or there is enough evidence against it.
    bool isSuspect(WorkerSlot worker) const;
    void prune(Core::Instant now);
    void pruneWorker(WorkerState &worker, Core::Instant now) const;
    void quarantine(WorkerSlot worker, Core::Instant now);
    /// Ends the quarantine if its time is over or no evidence is left against the worker. Returns
    /// true if it has ended: the worker is then on probation or, without evidence against it before
    /// the time is over, healthy.
    bool endQuarantine(WorkerSlot worker, Core::Instant now);

    HealthSettings m_settings;
    std::vector<WorkerState> m_workers;
    std::unordered_map<Core::TaskId, JobState> m_jobs;
    std::set<WorkerSlot> m_workersWithNewFailures;
    std::set<WorkerSlot> m_quarantined;
    std::set<WorkerSlot> m_changed;
    Core::Instant m_nextPruneAt = Core::Instant::min();
};

} // namespace Placement
