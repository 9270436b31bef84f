#include "HolderSession.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace Task {

namespace {

/// The longest time between two calls of the scheduler.
constexpr Core::Duration schedulerPollInterval = std::chrono::milliseconds(100);

} // namespace

HolderSession::HolderSession(const PlacerSettings &settings, const TaskTable &table,
                             const PlacerInputs &inputs,
                             std::unique_ptr<Placement::Scheduler> scheduler, Lease lease,
                             std::uint64_t &lastRequestNumber, Core::Instant now)
    : m_settings(settings)
    , m_table(table)
    , m_inputs(inputs)
    , m_scheduler(std::move(scheduler))
    , m_lease(lease)
    , m_lastRequestNumber(lastRequestNumber)
    , m_adoptedAt(now)
    , m_appendQueue(settings)
    , m_transfers(settings)
    , m_peers(inputs.peers)
    , m_tokensUpdatedAt(now)
{
    m_scheduler->setRules(inputs.rules);
    m_workers.setListed(inputs.workers, now);
    updateSchedulerWorkers();

    std::int64_t newestSubmission = 0;
    for (const auto &[id, entry] : table.entries())
        newestSubmission = std::max(newestSubmission, entry.submittedAtUnixMs);
    for (const auto &[id, entry] : table.entries()) {
        // Wall-clock times can't be converted here, because decisions use only the steady clock.
        // The differences between submission times preserve the tasks' order.
        const std::chrono::milliseconds age(newestSubmission - entry.submittedAtUnixMs);
        adopt(entry, now - age, now);
    }
    onRulesChanged();
    refuseTasksThatNeverFit();
}

void HolderSession::adopt(const TaskEntry &entry, Core::Instant submittedAt, Core::Instant now)
{
    if (entry.isTransferPending)
        m_transfers.add(entry.spec.id, now);
    if (isEnded(entry.state))
        return;
    addTask(entry, submittedAt);
    LiveTask &task = m_tasks.at(entry.spec.id);
    if (entry.openAttempt) {
        task.stage = TaskStage::Started;
        task.worker = entry.openAttempt->worker;
        task.reason = "adopted from an earlier placer";
        // The leases of all earlier holders have expired, so none of them sends a start any more.
        task.startSendDeadline = now;
        task.absenceConclusiveFrom = m_settings.guards.isDeliveryDelayAwaited
            ? now + m_settings.maximumDeliveryDelay
            : now;
        extendLatestExpiry(task, now + m_settings.taskLeaseLength);
        m_workers.findOrAdd(task.worker, now).attempts.insert(task.attempt());
        m_scheduler->adopt({ task.spec, task.attempt(), task.worker, now });
    } else {
        setWaiting(task);
    }
    if (entry.isCancelRequested)
        cancel(task, now);
}

void HolderSession::addTask(const TaskEntry &entry, Core::Instant submittedAt)
{
    LiveTask task;
    task.spec = entry.spec;
    task.transferNumber = entry.transferNumber;
    task.lastAttempt = entry.lastAttempt;
    task.endedAttempts = entry.endedAttempts;
    task.lostAttempts = entry.lostAttempts;
    task.checkpoint = entry.checkpoint;
    task.submittedAt = submittedAt;
    m_tasks.insert_or_assign(entry.spec.id, std::move(task));
}

void HolderSession::refuseTasksThatNeverFit()
{
    for (auto &[id, task] : m_tasks)
        refuseIfNeverFits(task);
}

void HolderSession::refuseIfNeverFits(LiveTask &task)
{
    // An empty list means that the workers aren't known yet, not that there are none.
    if (m_inputs.workers.empty() || task.stage != TaskStage::Waiting || task.isCancelRequested)
        return;
    const std::string reason = m_scheduler->reasonNeverFits(task.spec);
    if (reason.empty())
        return;
    removeFromScheduler(task);
    // "Refused" means that the task never ran, so one with an earlier attempt is held instead.
    if (task.lastAttempt == 0)
        appendFinalRecord(task, Refused { task.spec.id, reason });
    else
        appendFinalRecord(task, Held { task.spec.id, reason });
}

void HolderSession::extendLease(Core::Instant deadline)
{
    m_lease.deadline = std::max(m_lease.deadline, deadline);
}

bool HolderSession::isLeaseValid(Core::Instant now) const
{
    return now < m_lease.deadline || !m_settings.guards.isLeaseChecked;
}

Core::Instant HolderSession::sendDeadlineFrom(Core::Instant now) const
{
    const Core::Instant latest = now + m_settings.commandSendTimeout;
    return m_settings.guards.isLeaseChecked ? std::min(m_lease.deadline, latest) : latest;
}

void HolderSession::push(TaskRecordBody body)
{
    m_appendQueue.push(TaskRecord::create(m_lease.epoch, std::move(body)));
}

void HolderSession::appendFinalRecord(LiveTask &task, TaskRecordBody body)
{
    task.stage = TaskStage::Ending;
    push(std::move(body));
}

void HolderSession::setWaiting(LiveTask &task)
{
    task.stage = TaskStage::Waiting;
    task.isReportedRunning = false;
    task.stop.reset();
    task.targetDomain = {};
    m_stopping.erase(task.spec.id);
    updateWaiting(task);
}

void HolderSession::updateWaiting(LiveTask &task)
{
    if (task.stage != TaskStage::Waiting || task.isCancelRequested)
        return;
    if (mustLeaveDomain(task)) {
        removeFromScheduler(task);
        m_tasksToMove.push_front(task.spec.id);
        return;
    }
    if (task.isInScheduler)
        return;
    m_scheduler->addWaiting({ task.spec, task.submittedAt, task.endedAttempts });
    task.isInScheduler = true;
}

void HolderSession::removeFromScheduler(LiveTask &task)
{
    if (!task.isInScheduler)
        return;
    m_scheduler->removeWaiting(task.spec.id);
    task.isInScheduler = false;
}

void HolderSession::onRecord(const TaskRecord &record, bool hasChangedTable, Core::Instant now)
{
    onRecordsAppended(m_appendQueue.onRecordRead(record.id));
    if (!hasChangedTable)
        return;
    if (const auto *submitted = std::get_if<Submitted>(&record.body)) {
        m_transfers.remove(submitted->spec.id);
        addTask(*m_table.find(submitted->spec.id), now);
        LiveTask &task = m_tasks.at(submitted->spec.id);
        setWaiting(task);
        refuseIfNeverFits(task);
        return;
    }
    if (const auto *cancelRequested = std::get_if<CancelRequested>(&record.body)) {
        const auto found = m_tasks.find(cancelRequested->task);
        if (found != m_tasks.end())
            cancel(found->second, now);
        return;
    }
    if (const auto *transferOut = std::get_if<TransferOut>(&record.body)) {
        m_tasks.erase(transferOut->task);
        m_transfers.add(transferOut->task, now);
        return;
    }
    if (const auto *transferDone = std::get_if<TransferDone>(&record.body)) {
        m_transfers.remove(transferDone->task);
        return;
    }
    const auto eraseEnded = [this](const Core::TaskId &id) {
        const TaskEntry *entry = m_table.find(id);
        if (!entry || isEnded(entry->state))
            m_tasks.erase(id);
    };
    if (const auto *ended = std::get_if<AttemptEnded>(&record.body))
        eraseEnded(ended->attempt.task);
    else if (const auto *cancelled = std::get_if<Cancelled>(&record.body))
        eraseEnded(cancelled->task);
    else if (const auto *held = std::get_if<Held>(&record.body))
        eraseEnded(held->task);
    else if (const auto *refused = std::get_if<Refused>(&record.body))
        eraseEnded(refused->task);
}

void HolderSession::onAppendOutcome(std::uint64_t batchId, AppendOutcome outcome, Core::Instant now)
{
    onRecordsAppended(m_appendQueue.onOutcome(batchId, outcome, now));
}

void HolderSession::onRecordsAppended(const std::vector<TaskRecord> &records)
{
    for (const TaskRecord &record : records) {
        if (const auto *planned = std::get_if<AttemptPlanned>(&record.body)) {
            LiveTask *task = findByOpenAttempt(planned->attempt);
            if (!task || task->stage != TaskStage::Planning)
                continue;
            task->stage = TaskStage::Recorded;
            m_recorded.push_back(task->spec.id);
        } else if (const auto *ended = std::get_if<AttemptEnded>(&record.body)) {
            const auto found = m_unacknowledged.find(ended->attempt);
            if (found == m_unacknowledged.end())
                continue;
            if (WorkerStatus *status = m_workers.find(found->second))
                status->acknowledged.insert(ended->attempt);
            m_unacknowledged.erase(found);
        }
    }
}

void HolderSession::cancel(LiveTask &task, Core::Instant now)
{
    task.isCancelRequested = true;
    switch (task.stage) {
    case TaskStage::Planning:
    case TaskStage::Recorded:
        abandon(task, "cancelled", now);
        [[fallthrough]];
    case TaskStage::Waiting:
    case TaskStage::Ending:
        removeFromScheduler(task);
        appendFinalRecord(task, Cancelled { task.spec.id });
        return;
    case TaskStage::Started:
        requestStop(task, Platform::StopMode::Kill, "cancelled", now);
        return;
    }
}

void HolderSession::onRulesChanged()
{
    m_scheduler->setRules(m_inputs.rules);
    m_tasksToMove.clear();
    std::deque<Core::TaskId> open;
    for (auto &[id, task] : m_tasks) {
        if (task.isOpen() && mustLeaveDomain(task))
            open.push_back(id);
        updateWaiting(task);
    }
    // Waiting tasks move first, because they needn't be stopped.
    m_tasksToMove.insert(m_tasksToMove.end(), open.begin(), open.end());
}

void HolderSession::onWorkersChanged(Core::Instant now)
{
    m_workers.setListed(m_inputs.workers, now);
    m_areSchedulerWorkersOutdated = true;
    for (const Platform::VmEntry &entry : m_inputs.workers) {
        if (entry.state != Platform::VmState::Leaving)
            continue;
        const WorkerStatus *status = m_workers.find(entry.id);
        for (const AttemptId &attempt : status->attempts) {
            LiveTask *task = findByOpenAttempt(attempt);
            if (task && task->stage == TaskStage::Started && !task->stop)
                requestStop(*task, Platform::StopMode::Checkpoint, "its worker is leaving", now);
        }
    }
    updateSchedulerWorkers();
    refuseTasksThatNeverFit();
}

void HolderSession::writeSnapshot(Core::Instant now)
{
    if (m_appendQueue.isSnapshotPending())
        return;
    const SnapshotProgress &progress = m_inputs.snapshots;
    if (m_snapshotWrittenAt && now < *m_snapshotWrittenAt + m_settings.snapshotRetryInterval)
        return;
    if (!isSnapshotDue(progress, m_settings.snapshotInterval, m_settings.snapshotIntervalRecords,
                       now))
        return;
    m_snapshotWrittenAt = now;
    m_appendQueue.pushSnapshot(makeSnapshot(m_table, m_settings.self.text()), m_lease.epoch);
}

std::vector<PlacerAction> HolderSession::poll(Core::Instant now)
{
    std::vector<PlacerAction> actions;
    if (!isLeaseValid(now))
        return actions;
    renewWorkers(actions, now);
    updateSchedulerWorkers();
    moveTasksOut(now);
    applyDecisions(actions, now);
    startRecorded(actions, now);
    sendStops(actions, now);
    appendTransfers(actions, now);
    writeSnapshot(now);
    if (std::optional<AppendRecords> batch = m_appendQueue.poll(now, m_lastRequestNumber))
        actions.emplace_back(std::move(*batch));
    return actions;
}

std::optional<Core::Instant> HolderSession::nextWakeUp(Core::Instant now) const
{
    // Without a valid lease the holder does nothing until the lease is extended.
    if (!isLeaseValid(now))
        return std::nullopt;
    Core::Instant next = now + schedulerPollInterval;
    const auto consider = [&next](std::optional<Core::Instant> candidate) {
        if (candidate)
            next = std::min(next, *candidate);
    };
    consider(m_workers.nextRenewal());
    consider(m_appendQueue.nextWakeUp(now));
    consider(m_transfers.nextWakeUp());
    return next;
}

const LiveTask *HolderSession::find(const Core::TaskId &task) const
{
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() ? nullptr : &found->second;
}

LiveTask *HolderSession::findByOpenAttempt(const AttemptId &attempt)
{
    const auto found = m_tasks.find(attempt.task);
    if (found == m_tasks.end())
        return nullptr;
    LiveTask &task = found->second;
    return task.isOpen() && task.lastAttempt == attempt.number ? &task : nullptr;
}

std::string HolderSession::explain(const Core::TaskId &id) const
{
    const LiveTask *task = find(id);
    if (!task)
        return {};
    switch (task->stage) {
    case TaskStage::Waiting:
        if (mustLeaveDomain(*task))
            return "waits to move: the rules don't let it run in " + m_settings.domain.text();
        return m_scheduler->explain(id);
    case TaskStage::Planning:
    case TaskStage::Recorded:
        return "is about to start on " + task->worker.text() + ": " + task->reason;
    case TaskStage::Ending:
        return "its end is being recorded";
    case TaskStage::Started:
        break;
    }
    std::string text = task->isReportedRunning ? "runs on " : "may run on ";
    text += task->worker.text() + ": " + task->reason;
    if (task->stop)
        text += "; is being stopped: " + task->stop->reason;
    return text;
}

Core::Resources HolderSession::spareResources() const
{
    Core::Resources free;
    if (m_inputs.rules.isOut(m_settings.domain))
        return free;
    for (const auto &[worker, status] : m_workers.all()) {
        if (acceptsStarts(&status))
            free = free + status.entry.capacity;
    }
    for (const auto &[id, task] : m_tasks) {
        const bool isOnExcludedWorker
            = task.isOpen() && !acceptsStarts(m_workers.find(task.worker));
        if (!isOnExcludedWorker && task.stage != TaskStage::Ending)
            free = free - task.spec.declared;
    }
    const std::int64_t zero = 0;
    return { std::max(free.milliCores, zero), std::max(free.mebibytes, zero),
             std::max(free.accelerators, zero) };
}

} // namespace Task
