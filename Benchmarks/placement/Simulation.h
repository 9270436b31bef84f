#pragma once

#include "Percentiles.h"
#include "PhysicalFleet.h"
#include "Trace.h"

#include <LibPlacement/Scheduler.h>

#include <compare>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace PlacementBenchmark {

/// When a failure domain leaves and returns, in seconds.
struct DomainOutage
{
    int domain = 3;
    double outAt = 0.0;
    double backAt = 0.0;

    bool operator==(const DomainOutage &) const = default;
};

/// What a run measured after its warm-up.
struct SimulationResult
{
    std::size_t evictionsForInterference = 0;
    std::size_t evictionsForUrgentWork = 0;
    std::size_t evictionsForOutage = 0;
    std::size_t throttles = 0;
    std::size_t finishedBatch = 0;
    /// Core-seconds of batch work, without what evictions made to be done twice.
    double batchWork = 0.0;
    /// Seconds that latency-critical attempts have run.
    double latencyCriticalSeconds = 0.0;
    double slowdownMedian = 0.0;
    double slowdownP95 = 0.0;
    double slowdownP99 = 0.0;
    std::size_t urgentStarts = 0;
    double urgentDelayMedian = 0.0;
    double urgentDelayP99 = 0.0;
    std::size_t starts = 0;
    std::size_t runningAtEnd = 0;
    std::size_t waitingAtEnd = 0;
    std::size_t held = 0;
    std::size_t heldSoundJobs = 0;
    std::size_t failures = 0;
    /// Batch work while a domain leaves and returns, relative to what the capacity in service
    /// would do at the rate before; 0 without an outage.
    double workDuringOutage = 0.0;
};

/// Four failure domains in virtual time, each with a scheduler of its own.
class Simulation
{
public:
    using SchedulerFactory = std::function<std::unique_ptr<Placement::Scheduler>(int domain)>;

    Simulation(const Trace &trace, int domains, const SchedulerFactory &factory,
               std::optional<DomainOutage> outage);

    SimulationResult run(double seconds);

private:
    enum class EventKind {
        Submit,
        Stopped,
        Failed,
        LatencyCriticalEnded,
        Cancelled,
    };

    struct Event
    {
        double at = 0.0;
        std::uint64_t sequence = 0;
        EventKind kind = EventKind::Submit;
        std::size_t task = 0;
        std::uint32_t attempt = 0;

        bool operator<(const Event &other) const;
    };

    enum class TaskState {
        Waiting,
        Running,
        Ended,
    };

    struct TaskRun
    {
        TaskState state = TaskState::Waiting;
        int domain = 0;
        std::uint32_t attempts = 0;
        std::uint32_t endedAttempts = 0;
        double workLeft = 0.0;
        double waitingSince = 0.0;
        bool isCancelled = false;
    };

    void schedule(double at, EventKind kind, std::size_t task, std::uint32_t attempt = 0);
    void handleEvents();
    void handle(const Event &event);
    void submit(std::size_t task);
    void cancel(std::size_t task);
    void endAttempt(std::size_t task, std::uint32_t number, Task::AttemptPhase phase);
    void decide(int domain);
    void apply(int domain, const Placement::StartDecision &start);
    void apply(int domain, const Placement::EvictDecision &evict);
    void apply(int domain, const Placement::ThrottleDecision &throttle);
    void apply(int domain, const Placement::HoldDecision &hold);
    void scheduleEndOf(std::size_t task, std::uint32_t number, std::size_t worker);
    void stop(PhysicalAttempt &attempt);
    void stepWorld();
    void accountOutage(double workDone);
    void changeRules();
    void moveWaiting();
    int domainFor(std::size_t task) const;
    bool isMeasured() const { return m_now >= warmUpSeconds; }
    Core::Instant instant() const { return atSeconds(m_now); }
    Task::AttemptId attemptId(std::size_t task, std::uint32_t number) const;
    SimulationResult result();

    static constexpr double warmUpSeconds = 300.0;

    const Trace &m_trace;
    int m_domains;
    std::optional<DomainOutage> m_outage;
    bool m_isOut = false;
    std::vector<std::unique_ptr<Placement::Scheduler>> m_schedulers;
    PhysicalFleet m_fleet;
    Random m_random;
    std::vector<TaskRun> m_runs;
    std::unordered_map<std::string, std::size_t> m_taskNumbers;
    std::unordered_map<std::string, std::size_t> m_workerNumbers;
    std::priority_queue<Event> m_events;
    std::uint64_t m_nextSequence = 0;
    double m_now = 0.0;
    SimulationResult m_result;
    Percentiles m_slowdowns;
    Percentiles m_urgentDelays;
    double m_steadyWork = 0.0;
    double m_steadySeconds = 0.0;
    double m_outageWork = 0.0;
    double m_outageCapacitySeconds = 0.0;
};

} // namespace PlacementBenchmark
