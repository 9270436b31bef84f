#include "Tenure.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace Task {

namespace {

/// The time after which the scheduler is asked again without any other cause.
constexpr Core::Duration decideInterval = std::chrono::milliseconds(100);

} // namespace

Tenure::Tenure(const PlacerSettings &settings, const TaskTable &table, const PlacerInputs &inputs,
               std::unique_ptr<Placement::Scheduler> scheduler, Lease lease,
               std::uint64_t &lastNumber, Core::Instant now)
    : m_settings(settings)
    , m_table(table)
    , m_inputs(inputs)
    , m_scheduler(std::move(scheduler))
    , m_lease(lease)
    , m_lastNumber(lastNumber)
    , m_adoptedAt(now)
    , m_appends(settings)
    , m_transfers(settings)
    , m_peers(inputs.peers)
    , m_tokensAt(now)
{
    m_scheduler->setRules(inputs.rules);
    m_workers.setListed(inputs.workers, now);
    updateSchedulerWorkers();

    std::int64_t newestSubmission = 0;
    for (const auto &[id, entry] : table.entries())
        newestSubmission = std::max(newestSubmission, entry.submittedAtUnixMs);
    for (const auto &[id, entry] : table.entries()) {
        // Decision modules have no calendar; the differences keep the tasks' order of age.
        const std::chrono::milliseconds age(newestSubmission - entry.submittedAtUnixMs);
        adopt(entry, now - age, now);
    }
    onRulesChanged();
    refuseWhatNeverFits();
}

void Tenure::adopt(const TaskEntry &entry, Core::Instant submittedAt, Core::Instant now)
{
    if (entry.isTransferPending)
        m_transfers.add(entry.spec.id, now);
    if (isEnded(entry.state))
        return;
    admit(entry, submittedAt);
    TenureTask &task = m_tasks.at(entry.spec.id);
    if (entry.openAttempt) {
        task.stage = Stage::Started;
        task.worker = entry.openAttempt->worker;
        task.reason = "adopted from an earlier placer";
        // Any earlier holder's lease has ended by now, so it sent nothing after.
        task.startNotAfter = now;
        task.absenceProvesFrom
            = m_settings.guards.isFlightAwaited ? now + m_settings.flightAllowance : now;
        extendLapse(task, now + m_settings.taskLeaseLength);
        m_workers.line(task.worker, now).attempts.insert(task.attempt());
        m_scheduler->adopt({ task.spec, task.attempt(), task.worker, now });
    } else {
        setWaiting(task);
    }
    if (entry.isCancelRequested)
        cancel(task, now);
}

void Tenure::admit(const TaskEntry &entry, Core::Instant submittedAt)
{
    TenureTask task;
    task.spec = entry.spec;
    task.transferNumber = entry.transferNumber;
    task.lastAttempt = entry.lastAttempt;
    task.endedAttempts = entry.endedAttempts;
    task.checkpoint = entry.checkpoint;
    task.submittedAt = submittedAt;
    m_tasks.insert_or_assign(entry.spec.id, std::move(task));
}

void Tenure::refuseWhatNeverFits()
{
    for (auto &[id, task] : m_tasks)
        refuseIfNeverFits(task);
}

void Tenure::refuseIfNeverFits(TenureTask &task)
{
    // An empty list means that we haven't heard of the workers, not that there are none.
    if (m_inputs.workers.empty() || task.stage != Stage::Waiting || task.isCancelRequested)
        return;
    const std::string reason = m_scheduler->reasonNeverFits(task.spec);
    if (reason.empty())
        return;
    removeFromScheduler(task);
    // "Refused" says that it never ran.
    if (task.lastAttempt == 0)
        close(task, Refused { task.spec.id, reason });
    else
        close(task, Held { task.spec.id, reason });
}

void Tenure::extendLease(Core::Instant deadline)
{
    m_lease.deadline = std::max(m_lease.deadline, deadline);
}

bool Tenure::isLeaseValid(Core::Instant now) const
{
    return now < m_lease.deadline || !m_settings.guards.isLeaseChecked;
}

Core::Instant Tenure::sendBefore(Core::Instant now) const
{
    const Core::Instant latest = now + m_settings.startPatience;
    return m_settings.guards.isLeaseChecked ? std::min(m_lease.deadline, latest) : latest;
}

void Tenure::push(TaskRecordBody body)
{
    m_appends.push(TaskRecord::create(m_lease.epoch, std::move(body)));
}

void Tenure::close(TenureTask &task, TaskRecordBody body)
{
    task.stage = Stage::Closing;
    push(std::move(body));
}

void Tenure::setWaiting(TenureTask &task)
{
    task.stage = Stage::Waiting;
    task.isSeenRunning = false;
    task.stop.reset();
    task.movesTo = {};
    m_stopping.erase(task.spec.id);
    updateWaiting(task);
}

void Tenure::updateWaiting(TenureTask &task)
{
    if (task.stage != Stage::Waiting || task.isCancelRequested)
        return;
    if (isMisplaced(task)) {
        removeFromScheduler(task);
        m_misplaced.push_front(task.spec.id);
        return;
    }
    if (task.isInScheduler)
        return;
    m_scheduler->addWaiting({ task.spec, task.submittedAt, task.endedAttempts });
    task.isInScheduler = true;
}

void Tenure::removeFromScheduler(TenureTask &task)
{
    if (!task.isInScheduler)
        return;
    m_scheduler->removeWaiting(task.spec.id);
    task.isInScheduler = false;
}

void Tenure::onRecord(const TaskRecord &record, bool hasChangedTable, Core::Instant now)
{
    onLanded(m_appends.onSeen(record.id));
    if (!hasChangedTable)
        return;
    if (const auto *submitted = std::get_if<Submitted>(&record.body)) {
        m_transfers.remove(submitted->spec.id);
        admit(*m_table.find(submitted->spec.id), now);
        TenureTask &task = m_tasks.at(submitted->spec.id);
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

void Tenure::onAppendOutcome(std::uint64_t batchId, AppendOutcome outcome, Core::Instant now)
{
    onLanded(m_appends.onOutcome(batchId, outcome, now));
}

void Tenure::onLanded(const std::vector<TaskRecord> &records)
{
    for (const TaskRecord &record : records) {
        if (const auto *planned = std::get_if<AttemptPlanned>(&record.body)) {
            TenureTask *task = taskOfOpenAttempt(planned->attempt);
            if (!task || task->stage != Stage::Planning)
                continue;
            task->stage = Stage::Recorded;
            m_recorded.push_back(task->spec.id);
        } else if (const auto *ended = std::get_if<AttemptEnded>(&record.body)) {
            const auto found = m_unacknowledged.find(ended->attempt);
            if (found == m_unacknowledged.end())
                continue;
            if (WorkerLine *line = m_workers.find(found->second))
                line->acknowledged.insert(ended->attempt);
            m_unacknowledged.erase(found);
        }
    }
}

void Tenure::cancel(TenureTask &task, Core::Instant now)
{
    task.isCancelRequested = true;
    switch (task.stage) {
    case Stage::Planning:
    case Stage::Recorded:
        abandon(task, "cancelled", now);
        [[fallthrough]];
    case Stage::Waiting:
    case Stage::Closing:
        removeFromScheduler(task);
        close(task, Cancelled { task.spec.id });
        return;
    case Stage::Started:
        orderStop(task, Platform::StopMode::Kill, "cancelled", now);
        return;
    }
}

void Tenure::onRulesChanged()
{
    m_scheduler->setRules(m_inputs.rules);
    m_misplaced.clear();
    std::deque<Core::TaskId> open;
    for (auto &[id, task] : m_tasks) {
        if (task.isOpen() && isMisplaced(task))
            open.push_back(id);
        updateWaiting(task);
    }
    // Waiting tasks cost nothing to move, so they go first.
    m_misplaced.insert(m_misplaced.end(), open.begin(), open.end());
}

void Tenure::onWorkersChanged(Core::Instant now)
{
    m_workers.setListed(m_inputs.workers, now);
    m_areSchedulerWorkersOutdated = true;
    for (const Platform::VmEntry &entry : m_inputs.workers) {
        if (entry.state != Platform::VmState::Leaving)
            continue;
        const WorkerLine *line = m_workers.find(entry.id);
        for (const AttemptId &attempt : line->attempts) {
            TenureTask *task = taskOfOpenAttempt(attempt);
            if (task && task->stage == Stage::Started && !task->stop)
                orderStop(*task, Platform::StopMode::Checkpoint, "its worker is leaving", now);
        }
    }
    updateSchedulerWorkers();
    refuseWhatNeverFits();
}

void Tenure::writeSnapshot(Core::Instant now)
{
    if (m_appends.isSnapshotPending())
        return;
    const SnapshotProgress &progress = m_inputs.snapshots;
    if (m_snapshotWrittenAt && now < *m_snapshotWrittenAt + m_settings.snapshotRetryInterval)
        return;
    if (!shouldSnapshot(progress, m_settings.snapshotInterval, m_settings.snapshotEveryRecords,
                        now))
        return;
    m_snapshotWrittenAt = now;
    m_appends.pushSnapshot(makeSnapshot(m_table, m_settings.self.text()), m_lease.epoch);
}

std::vector<PlacerAction> Tenure::poll(Core::Instant now)
{
    std::vector<PlacerAction> actions;
    if (!isLeaseValid(now))
        return actions;
    renewWorkers(actions, now);
    updateSchedulerWorkers();
    moveMisplaced(now);
    decide(actions, now);
    startRecorded(actions, now);
    commandStops(actions, now);
    appendTransfers(actions, now);
    writeSnapshot(now);
    if (std::optional<AppendRecords> batch = m_appends.poll(now, m_lastNumber))
        actions.emplace_back(std::move(*batch));
    return actions;
}

std::optional<Core::Instant> Tenure::nextWakeUp(Core::Instant now) const
{
    // Without a valid lease there is nothing to do until it is extended.
    if (!isLeaseValid(now))
        return std::nullopt;
    Core::Instant next = now + decideInterval;
    const auto consider = [&next](std::optional<Core::Instant> candidate) {
        if (candidate)
            next = std::min(next, *candidate);
    };
    consider(m_workers.nextRenewal());
    consider(m_appends.nextWakeUp(now));
    consider(m_transfers.nextWakeUp());
    return next;
}

const TenureTask *Tenure::find(const Core::TaskId &task) const
{
    const auto found = m_tasks.find(task);
    return found == m_tasks.end() ? nullptr : &found->second;
}

TenureTask *Tenure::taskOfOpenAttempt(const AttemptId &attempt)
{
    const auto found = m_tasks.find(attempt.task);
    if (found == m_tasks.end())
        return nullptr;
    TenureTask &task = found->second;
    return task.isOpen() && task.lastAttempt == attempt.number ? &task : nullptr;
}

std::string Tenure::explain(const Core::TaskId &id) const
{
    const TenureTask *task = find(id);
    if (!task)
        return {};
    switch (task->stage) {
    case Stage::Waiting:
        if (isMisplaced(*task))
            return "waits to move: the rules don't let it run in " + m_settings.domain.text();
        return m_scheduler->explain(id);
    case Stage::Planning:
    case Stage::Recorded:
        return "is about to start on " + task->worker.text() + ": " + task->reason;
    case Stage::Closing:
        return "its end is being recorded";
    case Stage::Started:
        break;
    }
    std::string text = task->isSeenRunning ? "runs on " : "may run on ";
    text += task->worker.text() + ": " + task->reason;
    if (task->stop)
        text += "; is being stopped: " + task->stop->reason;
    return text;
}

Core::Resources Tenure::freeForPeers() const
{
    Core::Resources free;
    if (m_inputs.rules.isOut(m_settings.domain))
        return free;
    for (const auto &[worker, line] : m_workers.lines()) {
        if (isStartable(&line))
            free = free + line.entry.capacity;
    }
    for (const auto &[id, task] : m_tasks) {
        const bool isElsewhere = task.isOpen() && !isStartable(m_workers.find(task.worker));
        if (!isElsewhere && task.stage != Stage::Closing)
            free = free - task.spec.declared;
    }
    const std::int64_t none = 0;
    return { std::max(free.milliCores, none), std::max(free.mebibytes, none),
             std::max(free.accelerators, none) };
}

} // namespace Task
