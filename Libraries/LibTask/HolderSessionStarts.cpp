#include "HolderSession.h"

#include <algorithm>
#include <utility>
#include <variant>

/// Applies the scheduler's decisions and starts attempts.

namespace Task {

void HolderSession::updateSchedulerWorkers()
{
    if (!m_areSchedulerWorkersOutdated)
        return;
    m_areSchedulerWorkersOutdated = false;
    std::vector<Platform::VmEntry> entries = m_inputs.workers;
    for (Platform::VmEntry &entry : entries) {
        // The scheduler starts nothing on a leaving worker. Workers that accept no starts because
        // the attempts on them aren't known are marked as leaving to get the same effect.
        if (!acceptsStarts(m_workers.find(entry.id)))
            entry.state = Platform::VmState::Leaving;
    }
    m_scheduler->setWorkers(entries);
}

bool HolderSession::acceptsStarts(const WorkerStatus *status) const
{
    if (!status || !status->isListed || status->entry.state != Platform::VmState::Live)
        return false;
    if (!status->isResponsive && m_settings.guards.isWorkerReportAwaitedBeforeStart)
        return false;
    return status->unrecordedAttempts.empty()
        || !m_settings.guards.areStartsBlockedByUnrecordedAttempts;
}

bool HolderSession::areStartsAllowed() const
{
    return m_inputs.areRulesFresh && !m_inputs.rules.isOut(m_settings.domain);
}

void HolderSession::applyDecisions(std::vector<PlacerAction> &actions, Core::Instant now)
{
    // No attempt can be recorded during a log outage, so none is planned.
    const std::size_t maximumStarts = areStartsAllowed() && m_appendQueue.isLogAvailable()
        ? m_settings.maximumStartsPerPoll
        : 0;
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

void HolderSession::plan(const Placement::StartDecision &decision, Core::Instant now)
{
    const auto found = m_tasks.find(decision.task);
    if (found == m_tasks.end() || found->second.stage != TaskStage::Waiting) {
        m_scheduler->startAbandoned(decision.task);
        m_scheduler->removeWaiting(decision.task);
        return;
    }
    if (!areStartsAllowed() || !acceptsStarts(m_workers.find(decision.worker))) {
        m_scheduler->startAbandoned(decision.task);
        return;
    }
    LiveTask &task = found->second;
    task.isInScheduler = false;
    task.stage = TaskStage::Planning;
    task.lastAttempt += 1;
    task.worker = decision.worker;
    task.reason = decision.reason;
    m_workers.findOrAdd(task.worker, now).attempts.insert(task.attempt());
    push(AttemptPlanned { task.attempt(), task.worker });
    if (m_settings.guards.isRecordedBeforeStart)
        return;
    task.stage = TaskStage::Recorded;
    m_recorded.push_back(task.spec.id);
}

void HolderSession::evict(const Placement::EvictDecision &decision, Core::Instant now)
{
    LiveTask *task = findByOpenAttempt(decision.attempt);
    // A task that must leave the failure domain keeps running until another failure domain has room
    // for it.
    if (!task || mustLeaveDomain(*task))
        return;
    if (task->stage == TaskStage::Started)
        requestStop(*task, Platform::StopMode::Checkpoint, decision.reason, now);
    else
        abandon(*task, decision.reason, now);
}

void HolderSession::throttle(const Placement::ThrottleDecision &decision,
                             std::vector<PlacerAction> &actions, Core::Instant now)
{
    const LiveTask *task = findByOpenAttempt(decision.attempt);
    if (!task || task->stage != TaskStage::Started)
        return;
    actions.emplace_back(ThrottleAttempt { decision.worker, decision.attempt, decision.percent,
                                           sendDeadlineFrom(now), decision.reason });
}

void HolderSession::hold(const Placement::HoldDecision &decision)
{
    const auto found = m_tasks.find(decision.task);
    if (found == m_tasks.end() || found->second.stage != TaskStage::Waiting)
        return;
    removeFromScheduler(found->second);
    appendFinalRecord(found->second, Held { decision.task, decision.reason });
}

void HolderSession::startRecorded(std::vector<PlacerAction> &actions, Core::Instant now)
{
    for (const Core::TaskId &id : std::exchange(m_recorded, {})) {
        const auto found = m_tasks.find(id);
        if (found == m_tasks.end() || found->second.stage != TaskStage::Recorded)
            continue;
        LiveTask &task = found->second;
        // Rules and workers may have changed since the decision.
        const std::string reason = reasonNotToStart(task, now);
        if (reason.empty())
            actions.emplace_back(start(task, now));
        else
            abandon(task, reason, now);
    }
}

std::string HolderSession::reasonNotToStart(const LiveTask &task, Core::Instant now) const
{
    const PlacerGuards &guards = m_settings.guards;
    if (guards.areRulesCheckedAtStart && !m_inputs.areRulesFresh)
        return "the rules aren't fresh";
    if (guards.areRulesCheckedAtStart && mustLeaveDomain(task))
        return "the rules don't let it run in this failure domain";
    if (guards.isWorkerCheckedAtStart && !acceptsStarts(m_workers.find(task.worker)))
        return "its worker takes no new work";
    if (!leaseDeadlineFor(task, now))
        return "the log was out of reach for too long";
    return {};
}

StartAttempt HolderSession::start(LiveTask &task, Core::Instant now)
{
    task.stage = TaskStage::Started;
    task.startSendDeadline = sendDeadlineFrom(now);
    task.absenceConclusiveFrom = task.startSendDeadline + m_settings.maximumDeliveryDelay;
    task.latestLeaseExpiry = {};
    const Core::Instant leaseDeadline = leaseDeadlineFor(task, now).value();
    extendLatestExpiry(task, leaseDeadline);
    m_scheduler->attemptStarted({ task.spec, task.attempt(), task.worker, now });
    return { task.spec,     task.attempt(),         task.worker, m_lease.epoch, task.checkpoint,
             leaseDeadline, task.startSendDeadline, task.reason };
}

void HolderSession::abandon(LiveTask &task, const std::string &reason, Core::Instant now)
{
    push(AttemptAbandoned { task.attempt(), reason });
    if (WorkerStatus *status = m_workers.find(task.worker))
        status->attempts.erase(task.attempt());
    if (task.stage == TaskStage::Started) {
        m_scheduler->attemptEnded(task.attempt(), AttemptPhase::Stopped, now);
    } else {
        m_scheduler->startAbandoned(task.spec.id);
        task.isInScheduler = true;
    }
    setWaiting(task);
}

void HolderSession::onStartOutcome(const AttemptId &attempt, StartOutcome outcome,
                                   Core::Instant now)
{
    LiveTask *task = findByOpenAttempt(attempt);
    if (!task || task->stage != TaskStage::Started)
        return;
    if (outcome == StartOutcome::Unknown && m_settings.guards.isUnknownStartTreatedAsRunning)
        return;
    if (outcome == StartOutcome::Started) {
        // A worker that has answered a start lists the attempt in all later reports.
        task->absenceConclusiveFrom = std::min(task->absenceConclusiveFrom, now);
        return;
    }
    // The worker gets no other start before it has answered a renewal. Otherwise a worker that
    // refuses every start would get starts in a tight loop.
    if (WorkerStatus *status = m_workers.find(task->worker))
        status->isResponsive = false;
    m_areSchedulerWorkersOutdated = true;
    const bool isCancelled = task->isCancelRequested;
    abandon(*task, "the worker didn't start it", now);
    if (isCancelled)
        cancel(*task, now);
}

} // namespace Task
