#include "Tenure.h"

#include <algorithm>
#include <utility>
#include <variant>

/// From the scheduler's decision to the start of an attempt.

namespace Task {

void Tenure::updateSchedulerWorkers()
{
    if (!m_areSchedulerWorkersOutdated)
        return;
    m_areSchedulerWorkersOutdated = false;
    std::vector<Platform::VmEntry> entries = m_inputs.workers;
    for (Platform::VmEntry &entry : entries) {
        // The scheduler gives no new work to a worker that is leaving; the same must hold for one
        // of which we don't know what it runs.
        if (!isStartable(m_workers.find(entry.id)))
            entry.state = Platform::VmState::Leaving;
    }
    m_scheduler->setWorkers(entries);
}

bool Tenure::isStartable(const WorkerLine *line) const
{
    if (!line || !line->isListed || line->entry.state != Platform::VmState::Live)
        return false;
    if (!line->isHeard && m_settings.guards.isWorkerHeardBeforeStart)
        return false;
    return line->unknownAttempts.empty() || !m_settings.guards.isUnknownAttemptCounted;
}

bool Tenure::areStartsAllowed() const
{
    return m_inputs.areRulesFresh && !m_inputs.rules.isOut(m_settings.domain);
}

void Tenure::decide(std::vector<PlacerAction> &actions, Core::Instant now)
{
    // In a log outage nothing can be recorded, so nothing is decided either.
    const std::size_t maximumStarts
        = areStartsAllowed() && m_appends.isLogAnswering() ? m_settings.maximumStartsPerPoll : 0;
    for (const Placement::Decision &decision : m_scheduler->decide(now, maximumStarts)) {
        if (const auto *starts = std::get_if<Placement::StartDecision>(&decision))
            plan(*starts, now);
        else if (const auto *evicts = std::get_if<Placement::EvictDecision>(&decision))
            evict(*evicts, now);
        else if (const auto *throttles = std::get_if<Placement::ThrottleDecision>(&decision))
            throttle(*throttles, actions, now);
        else if (const auto *holds = std::get_if<Placement::HoldDecision>(&decision))
            hold(*holds);
    }
}

void Tenure::plan(const Placement::StartDecision &decision, Core::Instant now)
{
    const auto found = m_tasks.find(decision.task);
    if (found == m_tasks.end() || found->second.stage != Stage::Waiting) {
        m_scheduler->startAbandoned(decision.task);
        m_scheduler->removeWaiting(decision.task);
        return;
    }
    if (!areStartsAllowed() || !isStartable(m_workers.find(decision.worker))) {
        m_scheduler->startAbandoned(decision.task);
        return;
    }
    TenureTask &task = found->second;
    task.isInScheduler = false;
    task.stage = Stage::Planning;
    task.lastAttempt += 1;
    task.worker = decision.worker;
    task.reason = decision.reason;
    m_workers.line(task.worker, now).attempts.insert(task.attempt());
    push(AttemptPlanned { task.attempt(), task.worker });
    if (m_settings.guards.isRecordedBeforeStart)
        return;
    task.stage = Stage::Recorded;
    m_recorded.push_back(task.spec.id);
}

void Tenure::evict(const Placement::EvictDecision &decision, Core::Instant now)
{
    TenureTask *task = taskOfOpenAttempt(decision.attempt);
    // What must leave the failure domain runs on until another one has room for it.
    if (!task || isMisplaced(*task))
        return;
    if (task->stage == Stage::Started)
        orderStop(*task, Platform::StopMode::Checkpoint, decision.reason, now);
    else
        abandon(*task, decision.reason, now);
}

void Tenure::throttle(const Placement::ThrottleDecision &decision,
                      std::vector<PlacerAction> &actions, Core::Instant now)
{
    const TenureTask *task = taskOfOpenAttempt(decision.attempt);
    if (!task || task->stage != Stage::Started)
        return;
    actions.emplace_back(ThrottleAttempt { decision.worker, decision.attempt, decision.percent,
                                           sendBefore(now), decision.reason });
}

void Tenure::hold(const Placement::HoldDecision &decision)
{
    const auto found = m_tasks.find(decision.task);
    if (found == m_tasks.end() || found->second.stage != Stage::Waiting)
        return;
    removeFromScheduler(found->second);
    close(found->second, Held { decision.task, decision.reason });
}

void Tenure::startRecorded(std::vector<PlacerAction> &actions, Core::Instant now)
{
    for (const Core::TaskId &id : std::exchange(m_recorded, {})) {
        const auto found = m_tasks.find(id);
        if (found == m_tasks.end() || found->second.stage != Stage::Recorded)
            continue;
        TenureTask &task = found->second;
        // Rules and workers may have changed since the decision.
        const std::string reason = reasonNotToStart(task, now);
        if (reason.empty())
            actions.emplace_back(start(task, now));
        else
            abandon(task, reason, now);
    }
}

std::string Tenure::reasonNotToStart(const TenureTask &task, Core::Instant now) const
{
    const PlacerGuards &guards = m_settings.guards;
    if (guards.areRulesCheckedAtStart && !m_inputs.areRulesFresh)
        return "the rules aren't fresh";
    if (guards.areRulesCheckedAtStart && isMisplaced(task))
        return "the rules don't let it run in this failure domain";
    if (guards.isWorkerCheckedAtStart && !isStartable(m_workers.find(task.worker)))
        return "its worker takes no new work";
    if (!grantFor(task, now))
        return "the log was out of reach for too long";
    return {};
}

StartAttempt Tenure::start(TenureTask &task, Core::Instant now)
{
    task.stage = Stage::Started;
    task.startNotAfter = sendBefore(now);
    task.absenceProvesFrom = task.startNotAfter + m_settings.flightAllowance;
    task.latestLapse = {};
    const Core::Instant leaseDeadline = grantFor(task, now).value();
    extendLapse(task, leaseDeadline);
    m_scheduler->attemptStarted({ task.spec, task.attempt(), task.worker, now });
    return { task.spec,       task.attempt(), task.worker,        m_lease.epoch,
             task.checkpoint, leaseDeadline,  task.startNotAfter, task.reason };
}

void Tenure::abandon(TenureTask &task, const std::string &reason, Core::Instant now)
{
    push(AttemptAbandoned { task.attempt(), reason });
    if (WorkerLine *line = m_workers.find(task.worker))
        line->attempts.erase(task.attempt());
    if (task.stage == Stage::Started) {
        m_scheduler->attemptEnded(task.attempt(), AttemptPhase::Stopped, now);
    } else {
        m_scheduler->startAbandoned(task.spec.id);
        task.isInScheduler = true;
    }
    setWaiting(task);
}

void Tenure::onStartOutcome(const AttemptId &attempt, StartOutcome outcome, Core::Instant now)
{
    TenureTask *task = taskOfOpenAttempt(attempt);
    if (!task || task->stage != Stage::Started)
        return;
    if (outcome == StartOutcome::Unknown && m_settings.guards.isUnknownStartCounted)
        return;
    if (outcome == StartOutcome::Done) {
        // A worker that has answered the start lists the attempt from then on.
        task->absenceProvesFrom = std::min(task->absenceProvesFrom, now);
        return;
    }
    // The worker gets no other start before it has answered a renewal, so that one which refuses
    // everything isn't asked in a loop.
    if (WorkerLine *line = m_workers.find(task->worker))
        line->isHeard = false;
    m_areSchedulerWorkersOutdated = true;
    const bool isCancelled = task->isCancelRequested;
    abandon(*task, "the worker didn't start it", now);
    if (isCancelled)
        cancel(*task, now);
}

} // namespace Task
