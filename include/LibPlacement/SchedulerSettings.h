#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>

namespace Placement {

/// How interference on a worker is answered. Slowdowns are relative to a task running alone.
struct InterferenceSettings
{
    /// Above this smoothed slowdown of a latency-critical class the worker is under pressure.
    double alarmSlowdown = 1.8;
    /// Below it the worker is calm; between the two nothing changes.
    double calmSlowdown = 1.5;
    /// The weight of a new observation, from 0 to 1.
    double smoothing = 0.4;
    /// How long an action is given to show in the lagging measurements.
    Core::Duration settleTime = std::chrono::seconds(20);
    /// How long a worker must be calm before a limit is lifted.
    Core::Duration calmTime = std::chrono::seconds(30);
    /// Observations older than this no longer count as pressure.
    Core::Duration observationLifetime = std::chrono::seconds(90);
    Core::Duration evictionIntervalPerWorker = std::chrono::seconds(300);
    Core::Duration evictionIntervalPerDomain = std::chrono::seconds(5);
    int evictionBurstPerDomain = 4;
    /// What a throttled attempt keeps of its declared processors.
    int throttlePercent = 40;

    bool operator==(const InterferenceSettings &) const = default;
};

/// When failures are laid to a worker, and when to a job.
struct HealthSettings
{
    std::size_t failedJobsToQuarantine = 3;
    std::size_t failedWorkersToHold = 3;
    /// Failures and successes older than this are forgotten.
    Core::Duration window = std::chrono::minutes(30);
    Core::Duration quarantineTime = std::chrono::minutes(10);
    Core::Duration longestQuarantine = std::chrono::hours(4);
    int successesToLeaveProbation = 3;
    /// At most this part of the listed workers is in quarantine at a time.
    int quarantinePercent = 10;

    bool operator==(const HealthSettings &) const = default;
};

/// The settings of an InformedScheduler.
struct SchedulerSettings
{
    Core::FailureDomainId failureDomain;
    /// How many failure domains share the teams' quotas.
    int failureDomainCount = 1;
    std::uint64_t seed = 1;
    /// A task of priority p goes before one of priority 0 that has waited up to p times this.
    Core::Duration agingPerPriority = std::chrono::seconds(1);
    /// How long a batch task waits for a worker where its class isn't expected to disturb.
    Core::Duration noisePatience = std::chrono::seconds(20);
    /// A batch task within its team's quota takes borrowed room back after waiting this long.
    Core::Duration reclaimAfter = std::chrono::seconds(60);
    /// Reclaiming batch tasks: one per interval, so that borrowed room isn't emptied at a stroke.
    Core::Duration reclaimInterval = std::chrono::seconds(2);
    /// A task that has waited this long has a worker kept free for it.
    Core::Duration drainAfter = std::chrono::seconds(120);
    /// How long a worker is kept free before another one is tried.
    Core::Duration claimLifetime = std::chrono::hours(2);
    /// One worker in this many, and at least one, may be kept free at a time.
    std::size_t workersPerDrain = 32;
    /// How many tasks that don't fit one call looks at.
    int failedSearchesPerCall = 20;
    /// Attempts that leave an out-of-service failure domain: one per interval.
    Core::Duration evacuationInterval = std::chrono::milliseconds(50);
    /// Starts after the failure domain's return: one per interval during the ramp.
    Core::Duration returnStartInterval = std::chrono::milliseconds(50);
    Core::Duration returnRamp = std::chrono::seconds(60);
    InterferenceSettings interference;
    HealthSettings health;

    bool operator==(const SchedulerSettings &) const = default;
};

} // namespace Placement
