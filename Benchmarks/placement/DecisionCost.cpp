#include "DecisionCost.h"

#include "HeapCounter.h"
#include "Percentiles.h"
#include "Random.h"
#include "Trace.h"

#include <LibPlacement/InformedScheduler.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace PlacementBenchmark {

namespace {

constexpr int warmUpRounds = 2000;
constexpr int measuredRounds = 20000;
constexpr double secondsPerRound = 1.0 / 45.0;

double microsecondsSince(std::chrono::steady_clock::time_point before)
{
    const auto now = std::chrono::steady_clock::now();
    return std::chrono::duration<double, std::micro>(now - before).count();
}

/// One scheduler at its full load, kept there by ending an attempt for each one that starts.
class LoadedScheduler
{
public:
    LoadedScheduler(std::size_t workers, std::size_t backlog)
        : m_random(workers)
        , m_workers(workers)
    {
        TraceSettings settings;
        settings.seed = workers;
        settings.workers = static_cast<int>(workers);
        settings.domains = 1;
        constexpr double workersOfTarget = 660.0;
        const double scale = static_cast<double>(workers) / workersOfTarget;
        settings.latencyCriticalTasks = static_cast<int>(settings.latencyCriticalTasks * scale);
        settings.batchTasks = static_cast<int>(settings.batchTasks * scale);
        m_trace = generateTrace(settings);
        m_running = settings.latencyCriticalTasks + settings.batchTasks;
        m_heapBefore = heapBytesInUse();
        createScheduler();
        fill();
        addBacklog(backlog);
    }

    void run(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            m_now += secondsPerRound;
            observeSome();
            endOne();
            addOne();
            decideTimed();
        }
    }

    DecisionCost result() const
    {
        const double observation = m_observationMicroseconds / std::max(1, m_observations);
        return { m_workers,
                 m_attempts.size(),
                 m_costs.size(),
                 m_costs.at(0.5),
                 m_costs.at(0.99),
                 observation,
                 heapBytesInUse() - m_heapBefore };
    }

    void forgetCosts()
    {
        m_costs = {};
        m_observationMicroseconds = 0.0;
        m_observations = 0;
    }

private:
    void createScheduler()
    {
        Placement::SchedulerSettings settings;
        settings.failureDomain = domainNamed(0);
        m_scheduler = Placement::InformedScheduler::create(settings);
        m_scheduler->setRules(m_trace.rules);
        m_scheduler->setWorkers(m_trace.workers);
    }

    void fill()
    {
        for (; m_next < m_running; ++m_next)
            m_scheduler->addWaiting({ m_trace.tasks[m_next].spec, atSeconds(m_now), 0 });
        std::size_t starts = 0;
        do {
            m_now += 1.0;
            const auto decisions = m_scheduler->decide(atSeconds(m_now), m_running);
            starts = decisions.size();
            apply(decisions);
        } while (starts > 0);
    }

    void addBacklog(std::size_t backlog)
    {
        for (std::size_t number = 0; number < backlog; ++number)
            addOne();
    }

    void apply(const std::vector<Placement::Decision> &decisions)
    {
        for (const Placement::Decision &decision : decisions) {
            if (const auto *start = std::get_if<Placement::StartDecision>(&decision))
                applyStart(*start);
            if (const auto *evict = std::get_if<Placement::EvictDecision>(&decision))
                m_stopping.push_back(evict->attempt);
        }
    }

    void applyStart(const Placement::StartDecision &start)
    {
        const Task::AttemptId attempt { start.task, 1 };
        Task::TaskSpec spec;
        spec.id = start.task;
        m_scheduler->attemptStarted({ spec, attempt, start.worker, atSeconds(m_now) });
        m_attempts.push_back(attempt);
    }

    void observeSome()
    {
        // Every attempt reports every ten seconds, and 45 start in one.
        constexpr int observationsPerRound = 28;
        const auto before = std::chrono::steady_clock::now();
        for (int i = 0; i < observationsPerRound; ++i) {
            Task::AttemptReport report;
            report.attempt = m_attempts[m_random.below(m_attempts.size())];
            report.used = { static_cast<std::int64_t>(m_random.uniform(100, 900)), 300, 0 };
            report.slowdown = m_random.uniform(1.0, 1.6);
            m_scheduler->observe(report, atSeconds(m_now));
        }
        m_observationMicroseconds += microsecondsSince(before);
        m_observations += observationsPerRound;
    }

    void endOne()
    {
        const std::size_t index = m_random.below(m_attempts.size());
        m_scheduler->attemptEnded(m_attempts[index], Task::AttemptPhase::Finished,
                                  atSeconds(m_now));
        m_attempts[index] = m_attempts.back();
        m_attempts.pop_back();
        for (const Task::AttemptId &stopped : std::exchange(m_stopping, {})) {
            m_scheduler->attemptEnded(stopped, Task::AttemptPhase::Stopped, atSeconds(m_now));
            std::erase(m_attempts, stopped);
        }
    }

    void addOne()
    {
        Task::TaskSpec spec = m_trace.tasks[m_next % m_trace.tasks.size()].spec;
        spec.id = Core::TaskId("later-" + std::to_string(m_next++));
        m_scheduler->addWaiting({ spec, atSeconds(m_now), 0 });
    }

    void decideTimed()
    {
        const auto before = std::chrono::steady_clock::now();
        const auto decisions = m_scheduler->decide(atSeconds(m_now), 1);
        m_costs.add(microsecondsSince(before));
        apply(decisions);
    }

    Random m_random;
    std::size_t m_workers;
    std::size_t m_running = 0;
    std::size_t m_next = 0;
    std::size_t m_heapBefore = 0;
    double m_now = 0.0;
    Trace m_trace;
    std::unique_ptr<Placement::InformedScheduler> m_scheduler;
    std::vector<Task::AttemptId> m_attempts;
    std::vector<Task::AttemptId> m_stopping;
    Percentiles m_costs;
    double m_observationMicroseconds = 0.0;
    int m_observations = 0;
};

} // namespace

DecisionCost measureDecisionCost(std::size_t workers, std::size_t backlog)
{
    LoadedScheduler scheduler(workers, backlog);
    scheduler.run(warmUpRounds);
    scheduler.forgetCosts();
    scheduler.run(measuredRounds);
    return scheduler.result();
}

} // namespace PlacementBenchmark
