#include "HolderSession.h"

#include <algorithm>
#include <utility>

/// Renews leases, handles the workers' reports, sends stops, and decides when an attempt is
/// confirmed to have ended.

namespace Task {

void HolderSession::renewWorkers(std::vector<PlacerAction> &actions, Core::Instant now)
{
    for (const Core::VmId &worker : m_workers.due(now)) {
        endExpiredAttempts(*m_workers.find(worker), now);
        m_workers.removeUnneeded(worker);
        if (WorkerStatus *status = m_workers.find(worker))
            actions.emplace_back(renewal(*status, now));
    }
}

RenewWorker HolderSession::renewal(WorkerStatus &status, Core::Instant now)
{
    RenewWorker action;
    action.worker = status.entry.id;
    action.number = ++m_lastRequestNumber;
    action.leaseDeadline = now + m_settings.taskLeaseLength;
    action.acknowledged.assign(status.acknowledged.begin(), status.acknowledged.end());
    action.sendDeadline = sendDeadlineFrom(now);

    // An unanswered renewal may have taken effect. Renewals must therefore cease after some time,
    // or the leases would never expire on a worker that receives requests but whose answers are
    // lost.
    const bool isReportOverdue = now > status.lastReportAt + m_settings.taskLeaseLength / 2;
    for (const AttemptId &attempt : status.attempts) {
        const LiveTask *task = findByOpenAttempt(attempt);
        if (isReportOverdue || !task || task->stage != TaskStage::Started)
            continue;
        const std::optional<Core::Instant> deadline = leaseDeadlineFor(*task, now);
        if (!deadline)
            continue;
        action.attempts.push_back(attempt);
        action.leaseDeadline = std::min(action.leaseDeadline, *deadline);
    }
    for (const AttemptId &attempt : action.attempts)
        extendLatestExpiry(*findByOpenAttempt(attempt), action.leaseDeadline);

    status.renewalNumber = action.number;
    status.renewalSentAt = now;
    m_workers.suspendRenewal(status);
    return action;
}

std::optional<Core::Instant> HolderSession::leaseDeadlineFor(const LiveTask &task,
                                                             Core::Instant now) const
{
    const Core::Instant fullLease = now + m_settings.taskLeaseLength;
    if (task.stop) {
        const bool isCheckpointAwaited
            = now < task.stop->requestedAt + m_settings.checkpointTimeout;
        if (task.stop->mode == Platform::StopMode::Kill || !isCheckpointAwaited)
            return std::nullopt;
    }
    const auto rule = m_inputs.rules.classes.find(task.spec.taskClass);
    if (rule == m_inputs.rules.classes.end()
        || rule->second.cutOffPolicy != Rules::CutOffPolicy::Move)
        return fullLease;
    // Another failure domain may rely on the lease having expired `cutOffAfter` after this placer
    // last read the log.
    const Core::Instant latest = m_inputs.logReadAt + rule->second.cutOffAfter;
    if (latest <= now + m_settings.renewInterval)
        return std::nullopt;
    return std::min(fullLease, latest);
}

void HolderSession::extendLatestExpiry(LiveTask &task, Core::Instant leaseDeadline) const
{
    const Core::Instant expiry
        = leaseDeadline + m_settings.maximumDeliveryDelay + m_settings.clockDriftAllowance;
    task.latestLeaseExpiry = std::max(task.latestLeaseExpiry, expiry);
}

void HolderSession::onWorkerReport(const Core::VmId &worker, std::uint64_t number,
                                   const std::vector<AttemptReport> &reports, Core::Instant now)
{
    WorkerStatus *status = m_workers.find(worker);
    // A late answer to an earlier renewal may be older than the current state.
    if (!status || status->renewalNumber != number)
        return;
    status->renewalNumber = 0;
    status->lastReportAt = now;
    if (!status->isResponsive)
        m_areSchedulerWorkersOutdated = true;
    status->isResponsive = true;

    std::set<AttemptId> reported;
    for (const AttemptReport &report : reports) {
        reported.insert(report.attempt);
        onAttemptReport(*status, report, now);
    }
    endUnreportedAttempts(*status, reported, now);
    std::erase_if(status->acknowledged,
                  [&reported](const AttemptId &attempt) { return !reported.contains(attempt); });
    m_workers.setNextRenewal(*status, status->renewalSentAt + m_settings.renewInterval);
}

void HolderSession::onWorkerUnreachable(const Core::VmId &worker, std::uint64_t number,
                                        Core::Instant now)
{
    WorkerStatus *status = m_workers.find(worker);
    if (!status || status->renewalNumber != number)
        return;
    status->renewalNumber = 0;
    status->isResponsive = false;
    m_areSchedulerWorkersOutdated = true;
    m_workers.setNextRenewal(*status,
                             std::max(now, status->renewalSentAt + m_settings.renewInterval));
}

void HolderSession::onAttemptReport(WorkerStatus &status, const AttemptReport &report,
                                    Core::Instant now)
{
    LiveTask *task = findByOpenAttempt(report.attempt);
    if (!task || task->worker != status.entry.id || task->stage != TaskStage::Started) {
        onUnrecordedAttemptReport(status, report, now);
        return;
    }
    if (!report.checkpoint.empty())
        task->checkpoint = report.checkpoint;
    if (report.phase != AttemptPhase::Running) {
        confirmEnd(*task, report.phase, report.detail, now);
        return;
    }
    task->isReportedRunning = true;
    m_scheduler->observe(report, now);
}

void HolderSession::onUnrecordedAttemptReport(WorkerStatus &status, const AttemptReport &report,
                                              Core::Instant now)
{
    // If so, the end of the attempt is known and is acknowledged once it is recorded.
    const bool isBeingRecorded = m_unacknowledged.contains(report.attempt);
    if (report.phase == AttemptPhase::Running) {
        if (status.unrecordedAttempts.insert(report.attempt).second)
            m_areSchedulerWorkersOutdated = true;
        m_unrecordedAttemptStops.push_back({ status.entry.id, report.attempt,
                                             Platform::StopMode::Kill, sendDeadlineFrom(now),
                                             "no record accounts for it" });
        return;
    }
    if (status.unrecordedAttempts.erase(report.attempt) > 0)
        m_areSchedulerWorkersOutdated = true;
    if (!isBeingRecorded)
        status.acknowledged.insert(report.attempt);
}

void HolderSession::endUnreportedAttempts(WorkerStatus &status, const std::set<AttemptId> &reported,
                                          Core::Instant now)
{
    for (const AttemptId &attempt : std::set<AttemptId>(status.attempts)) {
        LiveTask *task = findByOpenAttempt(attempt);
        if (!task || task->stage != TaskStage::Started || reported.contains(attempt))
            continue;
        if (status.renewalSentAt < task->absenceConclusiveFrom)
            continue;
        confirmLoss(*task, "the worker doesn't know it", now);
    }
    const std::size_t removed
        = std::erase_if(status.unrecordedAttempts, [&reported](const AttemptId &attempt) {
              return !reported.contains(attempt);
          });
    if (removed > 0)
        m_areSchedulerWorkersOutdated = true;
}

void HolderSession::endExpiredAttempts(WorkerStatus &status, Core::Instant now)
{
    for (const AttemptId &attempt : std::set<AttemptId>(status.attempts)) {
        LiveTask *task = findByOpenAttempt(attempt);
        if (!task || task->stage != TaskStage::Started)
            continue;
        const bool isAssumedEnded = !status.isResponsive && !m_settings.guards.isLeaseExpiryAwaited;
        if (now >= task->latestLeaseExpiry || isAssumedEnded)
            confirmLoss(*task, "its lease has lapsed", now);
    }
}

void HolderSession::confirmLoss(LiveTask &task, const std::string &detail, Core::Instant now)
{
    const bool mayHaveCrashedWorker = !task.stop && !task.isReportedRunning;
    if (!mayHaveCrashedWorker) {
        confirmEnd(task, AttemptPhase::Stopped, detail, now);
        return;
    }
    const std::uint32_t lost = task.lostAttempts + 1;
    const bool isGivenUp = lost >= m_settings.maximumLostAttempts && !task.isCancelRequested;
    const std::string reason = isGivenUp
        ? "its last " + std::to_string(lost) + " attempts were lost with their workers"
        : detail;
    recordEnd(task,
              { task.attempt(), AttemptPhase::Stopped, task.checkpoint, reason, isGivenUp, true },
              now);
}

void HolderSession::confirmEnd(LiveTask &task, AttemptPhase phase, const std::string &detail,
                               Core::Instant now)
{
    const bool isFinal = phase == AttemptPhase::Failed
        && task.endedAttempts + 1 >= m_settings.maximumFailedAttempts;
    recordEnd(task, { task.attempt(), phase, task.checkpoint, detail, isFinal, false }, now);
}

void HolderSession::recordEnd(LiveTask &task, const AttemptEnded &ended, Core::Instant now)
{
    WorkerStatus &status = m_workers.findOrAdd(task.worker, now);
    status.attempts.erase(ended.attempt);
    if (m_settings.guards.isEndRecordedBeforeAcknowledgement)
        m_unacknowledged.insert_or_assign(ended.attempt, task.worker);
    else
        status.acknowledged.insert(ended.attempt);
    m_scheduler->attemptEnded(ended.attempt, ended.phase, now);
    task.endedAttempts += 1;
    task.lostAttempts = ended.wasLost ? task.lostAttempts + 1 : 0;

    const Core::FailureDomainId targetDomain = task.targetDomain;
    const bool hasEnded = ended.phase == AttemptPhase::Finished || ended.isFinal;
    if (hasEnded) {
        m_stopping.erase(task.spec.id);
        appendFinalRecord(task, ended);
        return;
    }
    push(ended);
    setWaiting(task);
    if (task.isCancelRequested)
        cancel(task, now);
    else if (!targetDomain.isEmpty() && mustLeaveDomain(task)
             && !m_inputs.rules.isOut(targetDomain))
        transferOut(task, targetDomain);
}

void HolderSession::requestStop(LiveTask &task, Platform::StopMode mode, const std::string &reason,
                                Core::Instant now)
{
    const bool isStrongerStop = task.stop && task.stop->mode == Platform::StopMode::Checkpoint
        && mode == Platform::StopMode::Kill;
    if (task.stop && !isStrongerStop)
        return;
    task.stop = StopRequest { mode, now, now, reason };
    m_stopping.insert(task.spec.id);
}

void HolderSession::sendStops(std::vector<PlacerAction> &actions, Core::Instant now)
{
    for (StopAttempt &stop : std::exchange(m_unrecordedAttemptStops, {}))
        actions.emplace_back(std::move(stop));
    for (const Core::TaskId &id : std::set<Core::TaskId>(m_stopping)) {
        LiveTask &task = m_tasks.at(id);
        StopRequest &stop = *task.stop;
        if (now < stop.nextSendAt)
            continue;
        if (now >= stop.requestedAt + m_settings.checkpointTimeout)
            stop.mode = Platform::StopMode::Kill;
        stop.nextSendAt = now + m_settings.stopRetryInterval;
        actions.emplace_back(StopAttempt { task.worker, task.attempt(), stop.mode,
                                           sendDeadlineFrom(now), stop.reason });
        if (!m_settings.guards.isStopConfirmedBeforeCapacityIsFreed)
            confirmEnd(task, AttemptPhase::Stopped, stop.reason, now);
    }
}

} // namespace Task
