#include "Simulation.h"

#include <algorithm>

namespace PlacementBenchmark {

namespace {

constexpr double tickSeconds = 0.1;
constexpr int ticksPerStep = 10;
constexpr std::size_t startsPerCall = 64;
/// From a decision until the attempt runs: one append to the log and one command.
constexpr double startOverheadSeconds = 0.15;
/// Writing a checkpoint and stopping.
constexpr double shortestStopSeconds = 0.3;
constexpr double longestStopSeconds = 1.2;
/// What an evicted attempt has to do again, at its full speed.
constexpr double redoneSeconds = 15.0;
constexpr double failureSeconds = 3.0;
/// How long after its return a domain's work still counts as part of the outage.
constexpr double returnSeconds = 120.0;

} // namespace

bool Simulation::Event::operator<(const Event &other) const
{
    if (at != other.at)
        return at > other.at;
    return sequence > other.sequence;
}

Simulation::Simulation(const Trace &trace, int domains, const SchedulerFactory &factory,
                       std::optional<DomainOutage> outage)
    : m_trace(trace)
    , m_domains(domains)
    , m_outage(outage)
    , m_fleet(trace, 7)
    , m_random(11)
    , m_runs(trace.tasks.size())
{
    for (std::size_t worker = 0; worker < trace.workers.size(); ++worker)
        m_workerNumbers[trace.workers[worker].id.text()] = worker;
    for (int domain = 0; domain < domains; ++domain) {
        std::vector<Platform::VmEntry> workers;
        for (const Platform::VmEntry &worker : trace.workers) {
            if (worker.failureDomain == domainNamed(domain))
                workers.push_back(worker);
        }
        m_schedulers.push_back(factory(domain));
        m_schedulers.back()->setRules(trace.rules);
        m_schedulers.back()->setWorkers(workers);
    }
    for (std::size_t task = 0; task < trace.tasks.size(); ++task) {
        m_taskNumbers[trace.tasks[task].spec.id.text()] = task;
        m_runs[task].workLeft = trace.tasks[task].profile.work;
        schedule(secondsOf(trace.tasks[task].submittedAt), EventKind::Submit, task);
    }
}

SimulationResult Simulation::run(double seconds)
{
    const int ticks = static_cast<int>(seconds / tickSeconds);
    for (int tick = 1; tick <= ticks; ++tick) {
        m_now = tick * tickSeconds;
        changeRules();
        handleEvents();
        for (int domain = 0; domain < m_domains; ++domain)
            decide(domain);
        if (tick % ticksPerStep == 0)
            stepWorld();
    }
    return result();
}

void Simulation::schedule(double at, EventKind kind, std::size_t task, std::uint32_t attempt)
{
    m_events.push({ at, m_nextSequence++, kind, task, attempt });
}

void Simulation::handleEvents()
{
    while (!m_events.empty() && m_events.top().at <= m_now) {
        const Event event = m_events.top();
        m_events.pop();
        handle(event);
    }
}

void Simulation::handle(const Event &event)
{
    switch (event.kind) {
    case EventKind::Submit:
        return submit(event.task);
    case EventKind::Stopped:
        return endAttempt(event.task, event.attempt, Task::AttemptPhase::Stopped);
    case EventKind::Failed:
        return endAttempt(event.task, event.attempt, Task::AttemptPhase::Failed);
    case EventKind::LatencyCriticalEnded:
        return endAttempt(event.task, event.attempt, Task::AttemptPhase::Finished);
    case EventKind::Cancelled:
        return cancel(event.task);
    }
}

void Simulation::submit(std::size_t task)
{
    TaskRun &run = m_runs[task];
    if (run.state == TaskState::Ended)
        return;
    run.state = TaskState::Waiting;
    run.domain = domainFor(task);
    run.waitingSince = m_now;
    const TraceTask &traced = m_trace.tasks[task];
    m_schedulers[run.domain]->addWaiting({ traced.spec, traced.submittedAt, run.endedAttempts });
    const bool isFirst = run.attempts == 0;
    if (isFirst && traced.profile.cancelledAt)
        schedule(secondsOf(*traced.profile.cancelledAt), EventKind::Cancelled, task);
}

void Simulation::cancel(std::size_t task)
{
    TaskRun &run = m_runs[task];
    run.isCancelled = true;
    if (run.state == TaskState::Waiting) {
        m_schedulers[run.domain]->removeWaiting(m_trace.tasks[task].spec.id);
        run.state = TaskState::Ended;
    }
    PhysicalAttempt *attempt = m_fleet.find(attemptId(task, run.attempts));
    if (run.state == TaskState::Running && attempt)
        stop(*attempt);
}

void Simulation::endAttempt(std::size_t task, std::uint32_t number, Task::AttemptPhase phase)
{
    const Task::AttemptId id = attemptId(task, number);
    PhysicalAttempt *attempt = m_fleet.find(id);
    if (!attempt)
        return;
    TaskRun &run = m_runs[task];
    run.workLeft = attempt->workLeft;
    m_fleet.remove(id);
    m_schedulers[run.domain]->attemptEnded(id, phase, instant());
    ++run.endedAttempts;
    if (phase == Task::AttemptPhase::Finished || run.isCancelled) {
        run.state = TaskState::Ended;
        return;
    }
    if (phase == Task::AttemptPhase::Failed)
        ++m_result.failures;
    const TaskProfile &profile = m_trace.tasks[task].profile;
    if (phase == Task::AttemptPhase::Stopped && !profile.isLatencyCritical) {
        const double redone = std::min(profile.work - run.workLeft, redoneSeconds * profile.cores);
        run.workLeft += redone;
        m_result.batchWork -= isMeasured() ? redone : 0.0;
        accountOutage(-redone);
    }
    submit(task);
}

void Simulation::decide(int domain)
{
    for (const Placement::Decision &decision :
         m_schedulers[domain]->decide(instant(), startsPerCall))
        std::visit([&](const auto &kind) { apply(domain, kind); }, decision);
}

void Simulation::apply(int domain, const Placement::StartDecision &start)
{
    const std::size_t task = m_taskNumbers.at(start.task.text());
    const std::size_t worker = m_workerNumbers.at(start.worker.text());
    TaskRun &run = m_runs[task];
    const TraceTask &traced = m_trace.tasks[task];
    run.state = TaskState::Running;
    ++run.attempts;
    PhysicalAttempt attempt;
    attempt.id = attemptId(task, run.attempts);
    attempt.task = task;
    attempt.worker = worker;
    attempt.profile = &traced.profile;
    constexpr double milliCoresPerCore = 1000.0;
    attempt.declaredCores
        = static_cast<double>(traced.spec.declared.milliCores) / milliCoresPerCore;
    attempt.workLeft = run.workLeft;
    m_fleet.add(attempt);
    m_schedulers[domain]->attemptStarted({ traced.spec, attempt.id, start.worker, instant() });
    scheduleEndOf(task, run.attempts, worker);
    if (!isMeasured())
        return;
    ++m_result.starts;
    if (traced.profile.isLatencyCritical)
        m_urgentDelays.add(m_now - run.waitingSince + startOverheadSeconds);
}

void Simulation::scheduleEndOf(std::size_t task, std::uint32_t number, std::size_t worker)
{
    const TaskProfile &profile = m_trace.tasks[task].profile;
    const std::vector<Core::VmId> &bad = m_trace.badWorkers;
    const bool isBadWorker
        = std::find(bad.begin(), bad.end(), m_trace.workers[worker].id) != bad.end();
    if (profile.isBroken || isBadWorker)
        schedule(m_now + failureSeconds, EventKind::Failed, task, number);
    else if (profile.isLatencyCritical)
        schedule(m_now + profile.work, EventKind::LatencyCriticalEnded, task, number);
}

void Simulation::apply(int /*domain*/, const Placement::EvictDecision &evict)
{
    PhysicalAttempt *attempt = m_fleet.find(evict.attempt);
    if (!attempt)
        return;
    stop(*attempt);
    if (!isMeasured())
        return;
    if (evict.reason.starts_with("gives way"))
        ++m_result.evictionsForUrgentWork;
    else if (evict.reason.starts_with("its class"))
        ++m_result.evictionsForOutage;
    else
        ++m_result.evictionsForInterference;
}

void Simulation::apply(int /*domain*/, const Placement::ThrottleDecision &throttle)
{
    if (PhysicalAttempt *attempt = m_fleet.find(throttle.attempt))
        attempt->throttlePercent = throttle.percent;
    m_result.throttles += isMeasured() && throttle.percent < 100 ? 1 : 0;
}

void Simulation::apply(int /*domain*/, const Placement::HoldDecision &hold)
{
    const std::size_t task = m_taskNumbers.at(hold.task.text());
    m_runs[task].state = TaskState::Ended;
    ++m_result.held;
    m_result.heldSoundJobs += m_trace.tasks[task].profile.isBroken ? 0 : 1;
}

void Simulation::stop(PhysicalAttempt &attempt)
{
    if (std::exchange(attempt.isStopping, true))
        return;
    const double stopSeconds = m_random.uniform(shortestStopSeconds, longestStopSeconds);
    schedule(m_now + stopSeconds, EventKind::Stopped, attempt.task, attempt.id.number);
}

void Simulation::stepWorld()
{
    const StepOutcome outcome = m_fleet.step(instant(), tickSeconds * ticksPerStep);
    accountOutage(outcome.workDone);
    m_result.batchWork += isMeasured() ? outcome.workDone : 0.0;
    for (const Task::AttemptId &finished : outcome.finished) {
        const std::size_t task = m_taskNumbers.at(finished.task.text());
        endAttempt(task, finished.number, Task::AttemptPhase::Finished);
        m_result.finishedBatch += isMeasured() ? 1 : 0;
    }
    for (const Task::AttemptReport &report : m_fleet.reportsDue(instant())) {
        const std::size_t task = m_taskNumbers.at(report.attempt.task.text());
        m_schedulers[m_runs[task].domain]->observe(report, instant());
    }
    if (!isMeasured())
        return;
    for (const double slowdown : m_fleet.latencyCriticalSlowdowns())
        m_slowdowns.add(slowdown);
    m_result.latencyCriticalSeconds = static_cast<double>(m_slowdowns.size());
}

void Simulation::accountOutage(double workDone)
{
    if (!m_outage || !isMeasured())
        return;
    const bool isSteady = m_now < m_outage->outAt;
    const bool isOver = m_now >= m_outage->backAt + returnSeconds;
    if (isSteady)
        m_steadyWork += workDone;
    else if (!isOver)
        m_outageWork += workDone;
    if (workDone <= 0.0)
        return;
    if (isSteady)
        m_steadySeconds += 1.0;
    else if (!isOver)
        m_outageCapacitySeconds += m_isOut ? (m_domains - 1.0) / m_domains : 1.0;
}

void Simulation::changeRules()
{
    if (!m_outage)
        return;
    const bool isOut = m_now >= m_outage->outAt && m_now < m_outage->backAt;
    if (isOut == std::exchange(m_isOut, isOut))
        return;
    Rules::RuleSet rules = m_trace.rules;
    const Core::FailureDomainId domain = domainNamed(m_outage->domain);
    if (isOut)
        rules.domainsOut[domain] = { domain, "benchmark" };
    for (const auto &scheduler : m_schedulers)
        scheduler->setRules(rules);
    if (isOut)
        moveWaiting();
}

void Simulation::moveWaiting()
{
    for (std::size_t task = 0; task < m_runs.size(); ++task) {
        TaskRun &run = m_runs[task];
        const bool isSubmitted = secondsOf(m_trace.tasks[task].submittedAt) < m_now;
        const bool isHere = run.domain == m_outage->domain && run.state == TaskState::Waiting;
        if (!isSubmitted || !isHere)
            continue;
        m_schedulers[run.domain]->removeWaiting(m_trace.tasks[task].spec.id);
        submit(task);
    }
}

int Simulation::domainFor(std::size_t task) const
{
    constexpr std::size_t spreadMultiplier = 2654435761U;
    const auto hash = static_cast<int>((task * spreadMultiplier >> 8U) % 1000003U);
    const int domain = hash % m_domains;
    if (!m_isOut || domain != m_outage->domain)
        return domain;
    return (domain + 1 + hash / m_domains % (m_domains - 1)) % m_domains;
}

Task::AttemptId Simulation::attemptId(std::size_t task, std::uint32_t number) const
{
    return { m_trace.tasks[task].spec.id, number };
}

SimulationResult Simulation::result()
{
    m_result.slowdownMedian = m_slowdowns.at(0.5);
    m_result.slowdownP95 = m_slowdowns.at(0.95);
    m_result.slowdownP99 = m_slowdowns.at(0.99);
    m_result.urgentStarts = m_urgentDelays.size();
    m_result.urgentDelayMedian = m_urgentDelays.at(0.5);
    m_result.urgentDelayP99 = m_urgentDelays.at(0.99);
    m_result.runningAtEnd = m_fleet.size();
    for (std::size_t task = 0; task < m_runs.size(); ++task) {
        const bool isSubmitted = secondsOf(m_trace.tasks[task].submittedAt) < m_now;
        m_result.waitingAtEnd += isSubmitted && m_runs[task].state == TaskState::Waiting ? 1 : 0;
    }
    if (m_steadySeconds > 0.0 && m_outageCapacitySeconds > 0.0)
        m_result.workDuringOutage
            = (m_outageWork / m_outageCapacitySeconds) / (m_steadyWork / m_steadySeconds);
    return m_result;
}

} // namespace PlacementBenchmark
