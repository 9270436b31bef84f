#include <LibPlacement/InformedScheduler.h>

#include <LibCore/Error.h>

#include <algorithm>
#include <utility>

namespace Placement {

namespace {

/// At most one search for a worker to drain per interval, as such a search may scan all workers.
constexpr Core::Duration drainSearchInterval = std::chrono::seconds(1);
/// The weight of a new report in the exponentially smoothed usage.
constexpr double usageSmoothing = 0.5;

std::int64_t smoothed(std::int64_t before, std::int64_t observed)
{
    return before
        + static_cast<std::int64_t>(usageSmoothing * static_cast<double>(observed - before));
}

Core::Resources smoothed(const Core::Resources &before, const Core::Resources &observed)
{
    return { smoothed(before.milliCores, observed.milliCores),
             smoothed(before.mebibytes, observed.mebibytes), observed.accelerators };
}

void require(bool condition, const std::string &requirement)
{
    if (!condition)
        throw Core::Error("create scheduler", "settings", requirement);
}

} // namespace

std::unique_ptr<InformedScheduler> InformedScheduler::create(const SchedulerSettings &settings)
{
    require(settings.failureDomainCount > 0, "failureDomainCount must be at least 1");
    require(settings.workersPerDrain > 0, "workersPerDrain must be at least 1");
    require(settings.failedSearchesPerCall > 0, "failedSearchesPerCall must be at least 1");
    require(settings.evacuationInterval > Core::Duration::zero(),
            "evacuationInterval must be positive");
    require(settings.reclaimInterval > Core::Duration::zero(), "reclaimInterval must be positive");
    require(settings.returnStartInterval > Core::Duration::zero(),
            "returnStartInterval must be positive");
    const InterferenceSettings &interference = settings.interference;
    require(interference.calmSlowdown < interference.alarmSlowdown,
            "calmSlowdown must be below alarmSlowdown");
    require(interference.throttlePercent > 0 && interference.throttlePercent < 100,
            "throttlePercent must be from 1 to 99");
    require(interference.evictionBurstPerDomain > 0, "evictionBurstPerDomain must be at least 1");
    require(settings.health.failedJobsToQuarantine > 0,
            "failedJobsToQuarantine must be at least 1");
    require(settings.health.failedWorkersToHold > 0, "failedWorkersToHold must be at least 1");
    return std::unique_ptr<InformedScheduler>(new InformedScheduler(settings));
}

InformedScheduler::InformedScheduler(const SchedulerSettings &settings)
    : m_settings(settings)
    , m_returnStartLimiter(settings.returnStartInterval, 1)
    , m_evacuationLimiter(settings.evacuationInterval, 1)
    , m_drainSearchLimiter(drainSearchInterval, 1)
    , m_reclaimLimiter(settings.reclaimInterval, 1)
    , m_queue(settings.agingPerPriority)
    , m_health(settings.health)
    , m_interference(settings.interference)
    , m_search(m_fleet, m_interference, m_health, settings.seed)
{
}

void InformedScheduler::setRules(const Rules::RuleSet &rules)
{
    if (rules == m_rules)
        return;
    m_rules = rules;
    const bool wasOutOfService
        = std::exchange(m_isOutOfService, rules.isOut(m_settings.failureDomain));
    m_isReturning = wasOutOfService && !m_isOutOfService;
    const int domainsOut = static_cast<int>(rules.domainsOut.size());
    m_fleet.setRules(rules, std::max(1, m_settings.failureDomainCount - domainsOut));
    const std::vector<WaitingQueue::Item> waiting = m_queue.items();
    m_queue = WaitingQueue(m_settings.agingPerPriority);
    for (const WaitingQueue::Item &item : waiting)
        enqueue(item.task, item.waitingSince);
    for (WorkerSlot worker = 0; worker < m_fleet.workers(); ++worker) {
        for (RunningAttempt *attempt : m_fleet.attempts().onWorker(worker)) {
            const bool isLatencyCritical
                = kindOf(attempt->spec.taskClass) == Rules::TaskKind::LatencyCritical;
            m_fleet.setLatencyCritical(*attempt, isLatencyCritical);
        }
    }
    requeueForbiddenClaims();
    planEvacuation();
}

void InformedScheduler::setWorkers(const std::vector<Platform::VmEntry> &workers)
{
    for (const WorkerSlot unschedulable : m_fleet.setWorkers(workers))
        requeueClaimsOn(unschedulable);
    m_distinctCapacities.clear();
    for (const Platform::VmEntry &entry : workers) {
        const bool isKnownSize
            = std::find(m_distinctCapacities.begin(), m_distinctCapacities.end(), entry.capacity)
            != m_distinctCapacities.end();
        if (entry.kind == Platform::VmKind::Worker && !isKnownSize)
            m_distinctCapacities.push_back(entry.capacity);
    }
}

void InformedScheduler::addWaiting(const WaitingTask &task)
{
    if (isKnown(task.spec.id))
        return;
    m_held.erase(task.spec.id);
    if (m_health.failuresOfJob(task.spec.id) > 0)
        m_failedBefore.insert(task.spec.id);
    enqueue(task, std::max(task.submittedAt, m_now));
}

void InformedScheduler::removeWaiting(const Core::TaskId &task)
{
    m_queue.remove(task);
    m_fleet.releaseClaim(task);
    m_failedBefore.erase(task);
    m_held.erase(task);
}

void InformedScheduler::adopt(const PlacedAttempt &attempt)
{
    const RunningAttempt *adopted = m_fleet.adopt(runningFrom(attempt));
    if (adopted && !isAllowedHere(attempt.spec.taskClass))
        m_toEvacuate.push_back(adopted->attempt);
}

void InformedScheduler::attemptStarted(const PlacedAttempt &attempt)
{
    if (m_fleet.attempts().find(attempt.attempt))
        return;
    RunningAttempt *pending = m_fleet.attempts().find({ attempt.spec.id, 0 });
    const bool isExpected = pending && m_fleet.idOf(pending->worker) == attempt.worker;
    if (!isExpected) {
        // The attempt that really started counts, even if it isn't the one that was decided.
        m_fleet.release({ attempt.spec.id, 0 });
        adopt(attempt);
        return;
    }
    m_fleet.changeId(*pending, attempt.attempt);
    pending->progressSavedAt = attempt.startedAt;
    if (!isAllowedHere(attempt.spec.taskClass))
        m_toEvacuate.push_back(attempt.attempt);
}

void InformedScheduler::startAbandoned(const Core::TaskId &task)
{
    const std::optional<RunningAttempt> pending = m_fleet.release({ task, 0 });
    if (pending)
        addWaiting({ pending->spec, pending->submittedAt, pending->endedAttempts });
}

void InformedScheduler::attemptEnded(const Task::AttemptId &attempt, Task::AttemptPhase phase,
                                     Core::Instant now)
{
    m_now = std::max(m_now, now);
    const std::optional<RunningAttempt> ended = m_fleet.release(attempt);
    if (!ended)
        return;
    if (phase == Task::AttemptPhase::Finished)
        m_health.succeeded(attempt.task, ended->worker, now);
    if (phase == Task::AttemptPhase::Failed)
        m_health.failed(attempt.task, ended->worker, now);
}

void InformedScheduler::observe(const Task::AttemptReport &report, Core::Instant now)
{
    RunningAttempt *attempt = m_fleet.attempts().find(report.attempt);
    if (!attempt || report.phase != Task::AttemptPhase::Running)
        return;
    attempt->used = smoothed(attempt->used, report.used);
    if (!report.checkpoint.empty() && report.checkpoint != attempt->checkpoint) {
        attempt->checkpoint = report.checkpoint;
        attempt->progressSavedAt = now;
    }
    m_usage.observe(attempt->spec, attempt->used);
    m_fleet.setUsed(*attempt, attempt->used);
    if (attempt->isLatencyCritical)
        learnInterference(*attempt, report.slowdown, now);
}

std::vector<Decision> InformedScheduler::decide(Core::Instant now, std::size_t maximumStarts)
{
    if (std::exchange(m_isReturning, false))
        m_rampUntil = now + m_settings.returnRamp;
    m_now = std::max(m_now, now);
    Pass pass { now, maximumStarts, m_settings.failedSearchesPerCall * searchCost, {}, {}, {} };
    updateHealth(pass);
    holdFaultyJobs(pass);
    evacuate(pass);
    mitigateInterference(pass);
    expireClaims(pass);
    startClaimed(pass);
    startWaiting(pass);
    return std::move(pass.decisions);
}

Rules::TaskKind InformedScheduler::kindOf(const Core::TaskClassId &taskClass) const
{
    const auto rule = m_rules.classes.find(taskClass);
    return rule == m_rules.classes.end() ? Rules::TaskKind::Batch : rule->second.kind;
}

int InformedScheduler::priorityOf(const Core::TaskClassId &taskClass) const
{
    const auto rule = m_rules.classes.find(taskClass);
    return rule == m_rules.classes.end() ? 0 : rule->second.priority;
}

bool InformedScheduler::isAllowedHere(const Core::TaskClassId &taskClass) const
{
    return !m_isOutOfService && m_rules.mayRunIn(taskClass, m_settings.failureDomain);
}

bool InformedScheduler::isKnown(const Core::TaskId &task) const
{
    return m_queue.find(task) || m_fleet.claims().find(task)
        || m_fleet.attempts().find({ task, 0 });
}

void InformedScheduler::enqueue(const WaitingTask &task, Core::Instant waitingSince)
{
    WaitingTask withoutPayload = task;
    withoutPayload.spec.payload.clear();
    m_queue.add(withoutPayload, kindOf(task.spec.taskClass), priorityOf(task.spec.taskClass),
                waitingSince);
}

void InformedScheduler::requeueClaimsOn(WorkerSlot worker)
{
    for (const Core::TaskId &task : m_fleet.claims().onWorker(worker))
        requeueClaim(task);
}

void InformedScheduler::requeueClaim(const Core::TaskId &task)
{
    const std::optional<Claim> claim = m_fleet.releaseClaim(task);
    if (claim)
        enqueue(claim->task, claim->waitingSince);
}

void InformedScheduler::requeueForbiddenClaims()
{
    std::vector<Core::TaskId> forbidden;
    for (const auto &[task, claim] : m_fleet.claims().all()) {
        if (!isAllowedHere(claim.task.spec.taskClass))
            forbidden.push_back(task);
    }
    for (const Core::TaskId &task : forbidden)
        requeueClaim(task);
}

void InformedScheduler::planEvacuation()
{
    m_toEvacuate.clear();
    for (WorkerSlot worker = 0; worker < m_fleet.workers(); ++worker) {
        for (const RunningAttempt *attempt : m_fleet.attempts().onWorker(worker)) {
            if (attempt->hasNumber() && !isAllowedHere(attempt->spec.taskClass))
                m_toEvacuate.push_back(attempt->attempt);
        }
    }
    // Latency-critical tasks are evacuated first, because people are waiting for them.
    const auto isLatencyCritical = [this](const Task::AttemptId &attempt) {
        return m_fleet.attempts().find(attempt)->isLatencyCritical;
    };
    std::stable_partition(m_toEvacuate.begin(), m_toEvacuate.end(), isLatencyCritical);
}

RunningAttempt InformedScheduler::runningFrom(const PlacedAttempt &placed)
{
    RunningAttempt running;
    running.spec = placed.spec;
    running.spec.payload.clear();
    running.attempt = placed.attempt;
    running.worker = m_fleet.findOrAddSlot(placed.worker);
    running.classIndex = m_classes.indexOf(placed.spec.taskClass);
    running.isLatencyCritical = kindOf(placed.spec.taskClass) == Rules::TaskKind::LatencyCritical;
    running.used = placed.spec.declared;
    running.progressSavedAt = placed.startedAt;
    running.submittedAt = placed.startedAt;
    return running;
}

void InformedScheduler::learnInterference(const RunningAttempt &attempt, double slowdown,
                                          Core::Instant now)
{
    m_interference.observe(attempt.worker, attempt.classIndex, slowdown, now);
    const double milliCores
        = static_cast<double>(m_fleet.ledger().capacity(attempt.worker).milliCores);
    std::vector<double> cpuFractions(m_classes.size());
    for (const RunningAttempt *neighbour : m_fleet.attempts().onWorker(attempt.worker)) {
        if (!neighbour->isLatencyCritical)
            cpuFractions[neighbour->classIndex]
                += static_cast<double>(neighbour->used.milliCores) / std::max(1.0, milliCores);
    }
    m_interference.attributeSlowdown(attempt.worker, slowdown, cpuFractions);
}

} // namespace Placement
