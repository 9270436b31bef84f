#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/VmEntry.h>
#include <LibRules/RuleSet.h>
#include <LibTask/TaskSpec.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace PlacementBenchmark {

/// How a task really behaves, which its declaration doesn't tell.
struct TaskProfile
{
    bool isLatencyCritical = false;
    /// What it uses when nothing holds it back.
    double cores = 1.0;
    double mebibytes = 512.0;
    /// How much memory bandwidth each used core takes.
    double intensity = 0.2;
    /// How strongly it suffers from the bandwidth that others take.
    double sensitivity = 0.0;
    /// Batch: core-seconds until it finishes. Latency-critical: seconds until it ends.
    double work = 0.0;
    /// It fails wherever it starts.
    bool isBroken = false;
    std::optional<Core::Instant> cancelledAt;

    bool operator==(const TaskProfile &) const = default;
};

struct TraceTask
{
    Core::Instant submittedAt;
    Task::TaskSpec spec;
    TaskProfile profile;

    bool operator==(const TraceTask &) const = default;
};

/// What the trace is generated from.
struct TraceSettings
{
    std::uint64_t seed = 1;
    Core::Duration length = std::chrono::minutes(50);
    double startsPerSecond = 45.0;
    int domains = 4;
    int workers = 660;
    int latencyCriticalTasks = 1400;
    int batchTasks = 11000;
    int teams = 23;
    /// Batch work that arrives, relative to the stated rate; above 1 some of it always waits.
    double batchLoad = 1.0;

    bool operator==(const TraceSettings &) const = default;
};

/// The submissions, workers and rules of one simulated run: both users' mixes side by side.
struct Trace
{
    std::vector<TraceTask> tasks;
    std::vector<Platform::VmEntry> workers;
    Rules::RuleSet rules;
    /// Workers that fail everything, one in each failure domain.
    std::vector<Core::VmId> badWorkers;
};

/// The same settings always give the same trace.
Trace generateTrace(const TraceSettings &settings);

/// True while a wave of noisy tasks passes.
bool isNoisyWave(Core::Instant now);

Core::Instant atSeconds(double seconds);
double secondsOf(Core::Instant instant);
Core::FailureDomainId domainNamed(int number);

} // namespace PlacementBenchmark
