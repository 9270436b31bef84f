#pragma once

#include "Random.h"
#include "Trace.h"

#include <LibTask/AttemptReport.h>

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace PlacementBenchmark {

/// An attempt that really runs on a worker.
struct PhysicalAttempt
{
    Task::AttemptId id;
    std::size_t task = 0;
    std::size_t worker = 0;
    const TaskProfile *profile = nullptr;
    double declaredCores = 0.0;
    int throttlePercent = 100;
    bool isStopping = false;
    /// Of a batch attempt: core-seconds until it finishes.
    double workLeft = 0.0;
    double usedCores = 0.0;
    double slowdown = 1.0;
    /// What the next report says: the state at the report before.
    Task::AttemptReport lastSample;
};

/// What one step of the physical world did.
struct StepOutcome
{
    std::vector<Task::AttemptId> finished;
    double workDone = 0.0;
};

/// How tasks on one worker really slow each other down: processors are shared when demand exceeds
/// them, and latency-critical tasks suffer from the memory bandwidth that batch tasks take.
class PhysicalFleet
{
public:
    PhysicalFleet(const Trace &trace, std::uint64_t seed);

    void add(const PhysicalAttempt &attempt);
    void remove(const Task::AttemptId &attempt);
    PhysicalAttempt *find(const Task::AttemptId &attempt);

    /// Lets all attempts run for \p seconds.
    StepOutcome step(Core::Instant now, double seconds);
    /// The lagging, noisy reports that are due in this second.
    std::vector<Task::AttemptReport> reportsDue(Core::Instant now);
    /// The slowdown of every latency-critical attempt now.
    std::vector<double> latencyCriticalSlowdowns() const;

    std::size_t size() const { return m_attempts.size(); }

private:
    struct Key
    {
        std::size_t operator()(const Task::AttemptId &attempt) const;
    };

    void stepWorker(std::size_t worker, bool isWave, double seconds, StepOutcome &outcome);

    std::vector<double> m_capacities;
    std::unordered_map<Task::AttemptId, PhysicalAttempt, Key> m_attempts;
    std::vector<std::vector<PhysicalAttempt *>> m_byWorker;
    Random m_random;
};

} // namespace PlacementBenchmark
