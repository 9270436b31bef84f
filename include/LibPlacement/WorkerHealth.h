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
    Sound,
    /// Gets nothing.
    Quarantined,
    /// Gets one batch attempt at a time until enough of them have succeeded.
    OnProbation,
};

/// Tells bad workers from bad jobs by who fails where.
///
/// A job that failed on one worker only speaks against that worker; one that failed on several
/// sound workers speaks against itself. A worker is quarantined when several jobs speak against it
/// and fewer succeeded there; a job is held when it failed on several workers that aren't suspect.
class WorkerHealth
{
public:
    explicit WorkerHealth(const HealthSettings &settings);

    void succeeded(const Core::TaskId &job, WorkerSlot worker, Core::Instant now);
    void failed(const Core::TaskId &job, WorkerSlot worker, Core::Instant now);

    /// Begins and ends quarantines; returns the workers whose condition changed.
    std::vector<WorkerSlot> update(Core::Instant now, std::size_t listedWorkers);

    WorkerCondition condition(WorkerSlot worker) const;
    bool hasFailedOn(const Core::TaskId &job, WorkerSlot worker) const;
    /// On how many workers that aren't suspect the job has failed.
    std::size_t failuresOfJob(const Core::TaskId &job) const;
    bool isJobBad(const Core::TaskId &job, std::size_t listedWorkers) const;
    /// The job is held: its failures no longer count, against anyone.
    void forgetHeld(const Core::TaskId &job);

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
        WorkerCondition condition = WorkerCondition::Sound;
        /// The jobs that failed here, with their first failure; a job counts once.
        std::map<Core::TaskId, Core::Instant> failedJobs;
        std::vector<Core::Instant> successes;
        Core::Instant quarantinedUntil;
        int quarantines = 0;
        int successesOnProbation = 0;
    };

    WorkerState &stateOf(WorkerSlot worker);
    /// How many jobs speak against the worker, and how many succeeded there since the first did.
    struct Evidence
    {
        std::size_t jobsAgainst = 0;
        std::size_t successesSince = 0;
    };

    Evidence evidence(WorkerSlot worker) const;
    bool speaksAgainst(const Core::TaskId &job, WorkerSlot worker) const;
    bool isSuspect(WorkerSlot worker) const;
    void prune(Core::Instant now);
    void pruneWorker(WorkerState &worker, Core::Instant now) const;
    void quarantine(WorkerSlot worker, Core::Instant now);
    bool endQuarantine(WorkerSlot worker, Core::Instant now);

    HealthSettings m_settings;
    std::vector<WorkerState> m_workers;
    std::unordered_map<Core::TaskId, JobState> m_jobs;
    std::set<WorkerSlot> m_doubtful;
    std::set<WorkerSlot> m_quarantined;
    std::set<WorkerSlot> m_changed;
    Core::Instant m_nextPruneAt = Core::Instant::min();
};

} // namespace Placement
