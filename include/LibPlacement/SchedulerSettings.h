#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>

namespace Placement {

/// How the scheduler responds to interference on a worker. A slowdown is relative to the task
/// running alone, which is 1.
struct InterferenceSettings
{
    /// A worker is under pressure above this smoothed slowdown of a latency-critical class.
    double alarmSlowdown = 1.8;
    /// A worker is calm below this smoothed slowdown; between the two thresholds nothing changes.
    double calmSlowdown = 1.5;
    /// The weight of a new observation in the exponentially smoothed slowdown, from 0 to 1.
    double smoothing = 0.4;
    /// The time after a throttling or an eviction in which no further one is decided on the worker,
    /// since the effect shows in the observations only after a delay.
    Core::Duration settleTime = std::chrono::seconds(20);
    /// How long a worker must be calm before CPU limits are lifted.
    Core::Duration calmTime = std::chrono::seconds(30);
    /// Observations older than this are ignored.
    Core::Duration observationLifetime = std::chrono::seconds(90);
    /// The rate limit of evictions because of interference: one per interval on each worker, and
    /// one per interval with a bounded burst in the failure domain.
    Core::Duration evictionIntervalPerWorker = std::chrono::seconds(300);
    Core::Duration evictionIntervalPerDomain = std::chrono::seconds(5);
    int evictionBurstPerDomain = 4;
    /// The CPU limit of a throttled attempt as a percentage of its declared CPU.
    int throttlePercent = 40;

    bool operator==(const InterferenceSettings &) const = default;
};

/// When failures are attributed to a worker, and when to a job.
struct HealthSettings
{
    /// A worker is quarantined when at least this many jobs have failed on it without being the
    /// likely cause themselves, and fewer attempts have succeeded there since the first of these
    /// failures.
    std::size_t failedJobsToQuarantine = 3;
    /// A job is held when it has failed on this many workers that aren't suspect, or on as many as
    /// are listed if there are fewer.
    std::size_t failedWorkersToHold = 3;
    /// Successes older than this are discarded, and the failures of a job once the newest of them
    /// is older.
    Core::Duration window = std::chrono::minutes(30);
    /// The length of a worker's first quarantine; each further one takes twice as long as the one
    /// before, up to longestQuarantine, until the worker has left probation as healthy.
    Core::Duration quarantineTime = std::chrono::minutes(10);
    Core::Duration longestQuarantine = std::chrono::hours(4);
    int successesToLeaveProbation = 3;
    /// At most this percentage of the listed workers, but at least one, is quarantined at a time. A
    /// worker that fails on probation is quarantined regardless.
    int quarantinePercent = 10;

    bool operator==(const HealthSettings &) const = default;
};

/// The settings of an InformedScheduler.
struct SchedulerSettings
{
    Core::FailureDomainId failureDomain;
    /// The number of failure domains. The teams' quotas are split between those in service.
    int failureDomainCount = 1;
    /// The position, modulo the number of workers, at which the searches for workers begin.
    std::uint64_t seed = 1;
    /// A task of priority p goes before a task of priority 0 that was submitted up to p times this
    /// earlier.
    Core::Duration agingPerPriority = std::chrono::seconds(1);
    /// How long a waiting batch task avoids the workers where its class is expected to interfere
    /// with latency-critical tasks.
    Core::Duration interferenceAvoidanceTime = std::chrono::seconds(20);
    /// A batch task within its team's quota may preempt attempts on borrowed capacity after waiting
    /// this long.
    Core::Duration reclaimAfter = std::chrono::seconds(60);
    /// At most one batch task per interval preempts attempts on borrowed capacity, so that they
    /// aren't all evicted at once.
    Core::Duration reclaimInterval = std::chrono::seconds(2);
    /// After waiting this long a task may get a worker that is drained for it: capacity that
    /// becomes free there is kept for the task.
    Core::Duration drainAfter = std::chrono::seconds(120);
    /// How long a worker is drained for a task before another worker is tried.
    Core::Duration claimLifetime = std::chrono::hours(2);
    /// At most one worker in this many, but at least one, is drained at a time.
    std::size_t workersPerDrain = 32;
    /// The work budget of one scheduling pass, in searches for a worker.
    int failedSearchesPerCall = 20;
    /// At most one attempt per interval is evicted from a failure domain in which its class may not
    /// run, for instance because the failure domain is out of service.
    Core::Duration evacuationInterval = std::chrono::milliseconds(50);
    /// At most one start per interval during the ramp after the failure domain's return to service.
    Core::Duration returnStartInterval = std::chrono::milliseconds(50);
    /// The length of the ramp.
    Core::Duration returnRamp = std::chrono::seconds(60);
    InterferenceSettings interference;
    HealthSettings health;

    bool operator==(const SchedulerSettings &) const = default;
};

} // namespace Placement
