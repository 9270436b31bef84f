#include "Tenure.h"

#include <algorithm>
#include <utility>

/// Renewals, reports, stops, and the proofs that an attempt has ended.

namespace Task {

void Tenure::renewWorkers(std::vector<PlacerAction> &actions, Core::Instant now)
{
    for (const Core::VmId &worker : m_workers.due(now)) {
        proveLapsedAttempts(*m_workers.find(worker), now);
        m_workers.removeUnneeded(worker);
        if (WorkerLine *line = m_workers.find(worker))
            actions.emplace_back(renewal(*line, now));
    }
}

RenewWorker Tenure::renewal(WorkerLine &line, Core::Instant now)
{
    RenewWorker action;
    action.worker = line.entry.id;
    action.number = ++m_lastNumber;
    action.leaseDeadline = now + m_settings.taskLeaseLength;
    action.acknowledged.assign(line.acknowledged.begin(), line.acknowledged.end());
    action.notAfter = sendBefore(now);

    // A renewal without an answer may have taken effect. So one day they must cease, or the leases
    // on a worker that can hear but not answer would never lapse.
    const bool isSilent = now > line.lastHeard + m_settings.taskLeaseLength / 2;
    for (const AttemptId &attempt : line.attempts) {
        const TenureTask *task = taskOfOpenAttempt(attempt);
        if (isSilent || !task || task->stage != Stage::Started)
            continue;
        const std::optional<Core::Instant> grant = grantFor(*task, now);
        if (!grant)
            continue;
        action.attempts.push_back(attempt);
        action.leaseDeadline = std::min(action.leaseDeadline, *grant);
    }
    for (const AttemptId &attempt : action.attempts)
        extendLapse(*taskOfOpenAttempt(attempt), action.leaseDeadline);

    line.renewalNumber = action.number;
    line.renewalSentAt = now;
    m_workers.suspendRenewal(line);
    return action;
}

std::optional<Core::Instant> Tenure::grantFor(const TenureTask &task, Core::Instant now) const
{
    const Core::Instant whole = now + m_settings.taskLeaseLength;
    if (task.stop) {
        const bool isPatient = now < task.stop->decidedAt + m_settings.checkpointPatience;
        if (task.stop->mode == Platform::StopMode::Kill || !isPatient)
            return std::nullopt;
    }
    const auto rule = m_inputs.rules.classes.find(task.spec.taskClass);
    if (rule == m_inputs.rules.classes.end()
        || rule->second.cutOffPolicy != Rules::CutOffPolicy::Move)
        return whole;
    // Another failure domain may count on the lapse so long after we last read the log.
    const Core::Instant latest = m_inputs.logReadAt + rule->second.cutOffAfter;
    if (latest <= now + m_settings.renewInterval)
        return std::nullopt;
    return std::min(whole, latest);
}

void Tenure::extendLapse(TenureTask &task, Core::Instant leaseDeadline) const
{
    const Core::Instant lapse
        = leaseDeadline + m_settings.flightAllowance + m_settings.driftAllowance;
    task.latestLapse = std::max(task.latestLapse, lapse);
}

void Tenure::onWorkerReport(const Core::VmId &worker, std::uint64_t number,
                            const std::vector<AttemptReport> &reports, Core::Instant now)
{
    WorkerLine *line = m_workers.find(worker);
    // A late answer to an earlier question may be older than what we know.
    if (!line || line->renewalNumber != number)
        return;
    line->renewalNumber = 0;
    line->lastHeard = now;
    if (!line->isHeard)
        m_areSchedulerWorkersOutdated = true;
    line->isHeard = true;

    std::set<AttemptId> reported;
    for (const AttemptReport &report : reports) {
        reported.insert(report.attempt);
        observe(*line, report, now);
    }
    proveSilentAttempts(*line, reported, now);
    std::erase_if(line->acknowledged,
                  [&reported](const AttemptId &attempt) { return !reported.contains(attempt); });
    m_workers.setNextRenewal(*line, line->renewalSentAt + m_settings.renewInterval);
}

void Tenure::onWorkerUnreachable(const Core::VmId &worker, std::uint64_t number, Core::Instant now)
{
    WorkerLine *line = m_workers.find(worker);
    if (!line || line->renewalNumber != number)
        return;
    line->renewalNumber = 0;
    line->isHeard = false;
    m_areSchedulerWorkersOutdated = true;
    m_workers.setNextRenewal(*line, std::max(now, line->renewalSentAt + m_settings.renewInterval));
}

void Tenure::observe(WorkerLine &line, const AttemptReport &report, Core::Instant now)
{
    TenureTask *task = taskOfOpenAttempt(report.attempt);
    if (!task || task->worker != line.entry.id || task->stage != Stage::Started) {
        observeUnknown(line, report, now);
        return;
    }
    if (!report.checkpoint.empty())
        task->checkpoint = report.checkpoint;
    if (report.phase != AttemptPhase::Running) {
        proveEnd(*task, report.phase, report.detail, now);
        return;
    }
    task->isSeenRunning = true;
    m_scheduler->observe(report, now);
}

void Tenure::observeUnknown(WorkerLine &line, const AttemptReport &report, Core::Instant now)
{
    // Its end is known, and the worker will be told so once that is recorded.
    const bool isBeingRecorded = m_unacknowledged.contains(report.attempt);
    if (report.phase == AttemptPhase::Running) {
        if (line.unknownAttempts.insert(report.attempt).second)
            m_areSchedulerWorkersOutdated = true;
        m_unknownStops.push_back({ line.entry.id, report.attempt, Platform::StopMode::Kill,
                                   sendBefore(now), "no record accounts for it" });
        return;
    }
    if (line.unknownAttempts.erase(report.attempt) > 0)
        m_areSchedulerWorkersOutdated = true;
    if (!isBeingRecorded)
        line.acknowledged.insert(report.attempt);
}

void Tenure::proveSilentAttempts(WorkerLine &line, const std::set<AttemptId> &reported,
                                 Core::Instant now)
{
    for (const AttemptId &attempt : std::set<AttemptId>(line.attempts)) {
        TenureTask *task = taskOfOpenAttempt(attempt);
        if (!task || task->stage != Stage::Started || reported.contains(attempt))
            continue;
        if (line.renewalSentAt < task->absenceProvesFrom)
            continue;
        proveEnd(*task, AttemptPhase::Stopped, "the worker doesn't know it", now);
    }
    const std::size_t removed
        = std::erase_if(line.unknownAttempts, [&reported](const AttemptId &attempt) {
              return !reported.contains(attempt);
          });
    if (removed > 0)
        m_areSchedulerWorkersOutdated = true;
}

void Tenure::proveLapsedAttempts(WorkerLine &line, Core::Instant now)
{
    for (const AttemptId &attempt : std::set<AttemptId>(line.attempts)) {
        TenureTask *task = taskOfOpenAttempt(attempt);
        if (!task || task->stage != Stage::Started)
            continue;
        const bool isSilent = !line.isHeard && !m_settings.guards.isLapseAwaited;
        if (now >= task->latestLapse || isSilent)
            proveEnd(*task, AttemptPhase::Stopped, "its lease has lapsed", now);
    }
}

void Tenure::proveEnd(TenureTask &task, AttemptPhase phase, const std::string &detail,
                      Core::Instant now)
{
    const AttemptId attempt = task.attempt();
    WorkerLine &line = m_workers.line(task.worker, now);
    line.attempts.erase(attempt);
    if (m_settings.guards.isEndRecordedBeforeAcknowledgement)
        m_unacknowledged.insert_or_assign(attempt, task.worker);
    else
        line.acknowledged.insert(attempt);
    m_scheduler->attemptEnded(attempt, phase, now);
    task.endedAttempts += 1;

    const bool isFinal
        = phase == AttemptPhase::Failed && task.endedAttempts >= m_settings.maximumFailedAttempts;
    const AttemptEnded ended { attempt, phase, task.checkpoint, detail, isFinal };
    const Core::FailureDomainId movesTo = task.movesTo;
    const bool hasEnded = phase == AttemptPhase::Finished || isFinal;
    if (hasEnded) {
        m_stopping.erase(task.spec.id);
        close(task, ended);
        return;
    }
    push(ended);
    setWaiting(task);
    if (task.isCancelRequested)
        cancel(task, now);
    else if (!movesTo.isEmpty() && isMisplaced(task) && !m_inputs.rules.isOut(movesTo))
        transferOut(task, movesTo);
}

void Tenure::orderStop(TenureTask &task, Platform::StopMode mode, const std::string &reason,
                       Core::Instant now)
{
    const bool isStrongerStop = task.stop && task.stop->mode == Platform::StopMode::Checkpoint
        && mode == Platform::StopMode::Kill;
    if (task.stop && !isStrongerStop)
        return;
    task.stop = StopOrder { mode, now, now, reason };
    m_stopping.insert(task.spec.id);
}

void Tenure::commandStops(std::vector<PlacerAction> &actions, Core::Instant now)
{
    for (StopAttempt &stop : std::exchange(m_unknownStops, {}))
        actions.emplace_back(std::move(stop));
    for (const Core::TaskId &id : std::set<Core::TaskId>(m_stopping)) {
        TenureTask &task = m_tasks.at(id);
        StopOrder &stop = *task.stop;
        if (now < stop.nextCommand)
            continue;
        if (now >= stop.decidedAt + m_settings.checkpointPatience)
            stop.mode = Platform::StopMode::Kill;
        stop.nextCommand = now + m_settings.stopRetryInterval;
        actions.emplace_back(
            StopAttempt { task.worker, task.attempt(), stop.mode, sendBefore(now), stop.reason });
        if (!m_settings.guards.isStopProvenBeforeRoomIsFreed)
            proveEnd(task, AttemptPhase::Stopped, stop.reason, now);
    }
}

} // namespace Task
