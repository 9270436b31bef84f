#include <LibJob/JobScheduler.h>

#include <algorithm>

namespace Jobs {

using std::chrono::milliseconds;

/// Renewal wait on workers with a serving task above its target and best-effort tasks.
static constexpr Core::Duration overTargetRenewalWait = milliseconds(300);
/// Renewal interval while ended runs wait for their commit: the lease is renewed after this time
/// even if the commit is late.
static constexpr Core::Duration uncommittedRenewalInterval = milliseconds(600);
/// A task that reports this progress is ready to serve requests.
static constexpr int fullPercent = 100;

std::vector<RenewCommand> JobScheduler::takeRenewals(const TimePoint &now)
{
    std::vector<RenewCommand> renewals;
    if (m_isDeposed)
        return renewals;
    for (WorkerState *worker : m_renewalQueue.due(now.instant)) {
        if (worker->needsHigherToken() && m_newestToken > worker->token())
            worker->raiseToken(m_newestToken, now.instant);
        RenewCommand command;
        command.worker = worker->info().id;
        command.address = worker->info().address;
        command.token = worker->token();
        command.acknowledgedEnd = worker->acknowledgementToSend();
        command.processStartUnixMs = worker->processStartUnixMs();
        // No lease is granted to an unresponsive worker: its answer may be lost, and the grant
        // would delay the time at which its runs are known to be gone.
        const bool isGranted = worker->isClockKnown() && worker->isReconciled()
            && !worker->isUnresponsive() && !worker->isLeaseSuspended() && !worker->runs().empty();
        if (isGranted)
            command.leaseDeadlineMs = worker->grantLease(now.instant, latestLeaseEnd());
        const bool mayWait = isGranted || (worker->isWitness() && !worker->isUnresponsive());
        if (mayWait && !worker->hasUncommittedEnds())
            command.waitMs = worker->hasIsolatedRun()
                ? 0
                : std::chrono::duration_cast<milliseconds>(renewalWait(*worker)).count();
        worker->noteRenewalSent();
        worker->setAnswerDueAt(now.instant + milliseconds(command.waitMs)
                               + m_settings.overdueAnswer);
        renewals.push_back(std::move(command));
    }
    return renewals;
}

Core::Duration JobScheduler::renewalWait(const WorkerState &worker) const
{
    // Shows soon whether throttling has lowered the tail latencies.
    const bool needsFastReports = worker.bestEffortCount() > 0 && worker.isOverTarget;
    return needsFastReports ? overTargetRenewalWait : m_settings.renewalWait;
}

void JobScheduler::onRenewalFailed(const Core::VmId &id, RenewalFailure failure,
                                   const TimePoint &now)
{
    WorkerState *worker = findWorkerState(id);
    if (!worker)
        return;
    worker->setRenewing(false);
    const bool wasSilent = worker->isUnresponsive();
    if (!wasSilent)
        noteSilence(*worker, now);
    worker->markUnresponsive(now.instant);
    suspendLeases(*worker, now);
    if (wasSilent || failure == RenewalFailure::BrokenOff)
        recordRunsInDoubt(*worker);
    worker->setNextRenewalAt(now.instant + m_settings.unresponsiveRenewalInterval);
}

void JobScheduler::onOtherIncarnation(const Core::VmId &id, const std::string &address,
                                      const TimePoint &now)
{
    WorkerState *worker = findWorkerState(id);
    if (!worker || worker->info().address != address)
        return;
    // The entry may name another worker's address. The process that was heard elsewhere may run on,
    // and is asked until it answers.
    if (!worker->mayBeAt(address)) {
        if (!worker->isUnresponsive())
            noteSilence(*worker, now);
        worker->markUnresponsive(now.instant);
        return;
    }
    worker->markReplaced(now.instant);
    // The jobs outlive the removal of their runs, so that `lost` tells which tasks to look at.
    const std::vector<StartedRun> lost = startedRuns(*worker);
    noteCrash(*worker, lost, "replaced", now);
    removeRunsOf(*worker);
    giveUpCrashing(lost, now);
    m_needsPass = true;
}

void JobScheduler::onReport(const Core::VmId &id, const WorkerReport &report, Core::Instant sentAt,
                            const TimePoint &now)
{
    WorkerState *worker = findWorkerState(id);
    if (!worker)
        return;
    worker->setRenewing(false);
    m_now = now.instant;
    // A report of the former incarnation, which has ended meanwhile.
    if (sentAt <= worker->replacedAt())
        return;
    const bool hasRestarted = worker->processStartUnixMs() != 0
        && worker->processStartUnixMs() != report.processStartUnixMs;
    std::vector<StartedRun> lost;
    if (hasRestarted) {
        noteRestart(*worker, report);
        lost = runsLostBefore(*worker, sentAt, report);
        noteCrash(*worker, lost, "restarted", now);
    }
    settleDoubtsOfFormer(*worker, report.processStartUnixMs, now);
    if (hasRestarted || !worker->isReconciled())
        beginContact(*worker, report.processStartUnixMs, now);
    worker->readClock(report.clockMs, now.instant);
    const Core::Duration unwatched = worker->lastAnswerAt() == Core::Instant()
        ? Core::Duration()
        : std::max(Core::Duration(), sentAt - worker->lastAnswerAt());
    const bool wasAsked = worker->isAsked();
    worker->noteAnswer(now.instant);
    if (worker->isLeaseSuspended()) {
        m_suspensions.lift(id);
        worker->setLeaseSuspended(m_suspensions.isSuspended(id));
    }
    const bool isComplete = report.ended.size() < WorkerReport::maxEnds;
    const bool wasReconciled = worker->isReconciled() && !hasRestarted;
    m_needsPass |= wasAsked;
    if (isComplete && !wasReconciled)
        m_needsPass = true;
    // If the report is full, runs that a former owner started may be among the ended runs of the
    // following reports. Until the worker has answered with a higher token than its former process
    // had seen, commands for that one may still start tasks there.
    const bool isFenced = !worker->needsHigherToken() && sentAt >= worker->tokenRaisedAt();
    worker->setReconciled((isComplete && isFenced) || wasReconciled);
    worker->noteAcknowledgementHeard(report.acknowledgedEnd);
    std::int64_t lastEnd = worker->processedEnd();
    for (const EndedEntry &end : report.ended) {
        if (end.number <= lastEnd)
            continue;
        lastEnd = end.number;
        onRunEnded(*worker, end, unwatched, now);
    }
    if (lastEnd > worker->processedEnd()) {
        // The worker must keep an end that proves that a job has begun until the begun state is
        // durable.
        const bool isAllRecorded = !needsCommit() && m_begun.empty();
        worker->noteProcessedEnd(lastEnd, isAllRecorded ? m_lastCommit : m_lastCommit + 1);
        worker->noteCommitted(m_committed);
        if (worker->hasUncommittedEnds())
            m_withUncommittedEnds.insert(id);
    }
    UnwantedUse unwanted;
    for (const RunningEntry &entry : report.running) {
        const bool isWanted = onRunning(*worker, entry, now);
        if (!isWanted)
            stopUnwantedRun(*worker, entry, unwanted);
    }
    m_isOtherUseOutdated |= worker->unwantedUse().ofCustomers != unwanted.ofCustomers;
    worker->setUnwantedUse(unwanted);
    if (isComplete)
        removeMissingRuns(*worker, report, sentAt);
    withdrawDoubtsAbout(*worker);
    giveUpCrashing(lost, now);
    if (worker->servingCount() > 0 || worker->bestEffortCount() > 0)
        updateColocation(*worker, now);
    worker->setNextRenewalAt(now.instant + delayToNextRenewal(*worker, wasReconciled));
}

Core::Duration JobScheduler::delayToNextRenewal(const WorkerState &worker, bool wasReconciled) const
{
    // A former owner granted the lease of what runs there; only the next renewal extends it.
    // Nothing follows from another answer before a higher token can be had; then onCommitted()
    // requests one.
    if (worker.needsHigherToken())
        return m_settings.unresponsiveRenewalInterval;
    const bool isFirstContact = !wasReconciled && worker.isReconciled();
    if (isFirstContact && !worker.runs().empty())
        return {};
    return worker.hasUncommittedEnds() ? uncommittedRenewalInterval : renewalInterval(worker);
}

void JobScheduler::beginContact(WorkerState &worker, std::int64_t processStartUnixMs,
                                const TimePoint &now)
{
    // A worker that has restarted has forgotten the tokens that it had seen, and would obey a
    // replaced owner. Only a proof of ownership after the first contact shows that no newer owner
    // had fenced this one off before the restart.
    worker.beginIncarnation(processStartUnixMs, now.instant);
    // A command that an owner of a former version has sent to the former incarnation may have
    // reached this one, with a deadline on the former one's clock.
    const bool mayHaveLongLease = worker.hasRestarted() || !m_ownership.areFormerCommandsBound;
    const Core::Duration lease = mayHaveLongLease ? m_settings.maxLease : m_settings.lease;
    worker.extendLatestLeaseEnd(now.instant + m_settings.longestOnOwnersClock(lease));
    m_needsProof = true;
}

void JobScheduler::noteRestart(const WorkerState &worker, const WorkerReport &report)
{
    const std::int64_t firstEnd = report.ended.empty() ? 0 : report.ended.front().number;
    m_log.noteWorker(worker.info().id.text(), "worker-restarted",
                     "born=" + std::to_string(report.processStartUnixMs)
                         + " former_born=" + std::to_string(worker.processStartUnixMs())
                         + " former_acknowledged=" + std::to_string(worker.acknowledgedEnd())
                         + " acknowledged=" + std::to_string(report.acknowledgedEnd) + " first_end="
                         + std::to_string(firstEnd) + " ends=" + std::to_string(report.ended.size())
                         + " running=" + std::to_string(report.running.size()));
}

bool JobScheduler::onRunning(WorkerState &worker, const RunningEntry &entry, const TimePoint &now)
{
    OwnedJob *job = findJob(entry.task.job);
    if (job)
        markBegun(*job);
    TaskState *task = job ? findReportedTask(*job, entry.task, now) : nullptr;
    if (!task || job->isTaskDone(entry.task))
        return false;
    if (!task->run) {
        // An abandoned run isn't adopted; its results are ignored.
        if (job->isOver() || entry.run <= task->lastRun)
            return false;
        adoptRun(*job, worker, entry, now);
        return true;
    }
    TaskRun &run = *task->run;
    if (run.worker != &worker || run.number != entry.run)
        return false;
    run.seenAt = now.instant;
    run.longestLeaseEnd = {};
    noteSeen(*job, entry.task, run);
    if (run.phase != RunPhase::Running) {
        setPhase(run, RunPhase::Running, now);
        run.progressedAt = now.instant;
        noteRunStarted(*job, entry.task, run, now);
    }
    if (!entry.checkpoint.empty())
        task->checkpoint = entry.checkpoint;
    run.recentLoad = entry.recentLoad;
    updateOverTarget(job->spec(entry.task.step), run, now.instant);
    checkProgress(job->spec(entry.task.step), run, entry, now);
    return true;
}

void JobScheduler::adoptRun(OwnedJob &job, WorkerState &worker, const RunningEntry &entry,
                            const TimePoint &now)
{
    note(entry.task, "adopt",
         "worker=" + worker.info().id.text() + " run=" + std::to_string(entry.run));
    addRun(job, entry.task, worker, entry.run, RunPhase::Running, now);
    worker.extendLatestLeaseEnd(now.instant + m_settings.longestOnOwnersClock(m_settings.lease));
    TaskState &task = *job.findTask(entry.task);
    task.mayRunUnseen = false;
    task.run->percentDone = entry.percentDone;
    task.run->isThrottleKnown = false;
    if (!entry.checkpoint.empty())
        task.checkpoint = entry.checkpoint;
    job.notePlannedStart(entry.task.step, entry.task.index, worker.info().id);
    markDirty(job);
    // The former owner may not have known that the worker drains.
    if (worker.info().isDraining && job.spec(entry.task.step).isLongRunning)
        requestStop(entry.task, *task.run, now);
}

void JobScheduler::stopUnwantedRun(WorkerState &worker, const RunningEntry &entry, UnwantedUse &use)
{
    note(entry.task, "stop-unknown",
         "worker=" + worker.info().id.text() + " run=" + std::to_string(entry.run));
    m_commands.emplace_back(StopCommand { worker.info().id, worker.info().address, entry.task,
                                          entry.run, worker.token() });
    ++use.runs;
    const OwnedJob *job = findJob(entry.task.job);
    // The job may be forgotten once its end is durable, while the worker still stops the run.
    const auto former = worker.unwantedUse().ofCustomers.find(entry.task);
    if (!job && former != worker.unwantedUse().ofCustomers.end())
        use.ofCustomers.insert(*former);
    const auto step = static_cast<std::size_t>(entry.task.step);
    if (!job || step >= job->submission().spec.steps.size()) {
        use.isPartlyUnknown = true;
        return;
    }
    const StepSpec &spec = job->spec(entry.task.step);
    Core::Resources need = spec.need;
    const Core::CustomerId &customer = job->submission().customer;
    if (!customer.isEmpty())
        use.ofCustomers.insert_or_assign(entry.task, CustomerUse { customer, need });
    if (spec.isBestEffort)
        need.milliCores = 0;
    use.requested = use.requested + need;
}

/// Returns the tasks that the report lists as running, in their order.
static std::vector<const TaskName *> listedTasks(const WorkerReport &report)
{
    std::vector<const TaskName *> listed;
    listed.reserve(report.running.size());
    for (const RunningEntry &entry : report.running)
        listed.push_back(&entry.task);
    const auto isBefore
        = [](const TaskName *left, const TaskName *right) { return *left < *right; };
    if (!std::is_sorted(listed.begin(), listed.end(), isBefore))
        std::sort(listed.begin(), listed.end(), isBefore);
    return listed;
}

/// Returns the tasks with a run on the worker that the report doesn't list.
static std::vector<TaskName> unlistedTasks(const WorkerState &worker, const WorkerReport &report)
{
    std::vector<TaskName> unlisted;
    const std::vector<const TaskName *> listed = listedTasks(report);
    auto next = listed.begin();
    for (const TaskName &name : worker.runs()) {
        next = std::find_if(next, listed.end(),
                            [&name](const TaskName *other) { return *other >= name; });
        if (next == listed.end() || **next != name)
            unlisted.push_back(name);
    }
    return unlisted;
}

bool JobScheduler::isGone(const WorkerState &worker, const TaskRun &run, Core::Instant sentAt)
{
    const bool wasRunning = run.phase == RunPhase::Running && run.phaseBeganAt <= sentAt;
    const bool wasStopped = run.stopAnsweredAt != Core::Instant() && run.stopAnsweredAt <= sentAt;
    if (wasRunning || wasStopped)
        return true;
    if (run.phase != RunPhase::Uncertain)
        return false;
    // The deadline of the start command is on the clock of the process that it was meant for; the
    // next one rejects the command for its token.
    const bool isForFormerProcess = run.sentAt < worker.firstReportAt();
    const bool isFencedOff
        = run.sentAt < worker.tokenRaisedAt() && worker.tokenRaisedAt() <= sentAt;
    return isForFormerProcess ? isFencedOff : run.startDeadline <= sentAt;
}

void JobScheduler::removeMissingRuns(WorkerState &worker, const WorkerReport &report,
                                     Core::Instant sentAt)
{
    for (const TaskName &name : unlistedTasks(worker, report)) {
        OwnedJob *job = findJob(name.job);
        TaskState *task = job ? job->findTask(name) : nullptr;
        if (!task || !task->run)
            continue;
        const TaskRun &run = *task->run;
        if (!isGone(worker, run, sentAt))
            continue;
        note(name, "gone",
             "worker=" + worker.info().id.text() + " run=" + std::to_string(run.number));
        removeRun(*job, name);
        m_needsPass = true;
    }
}

void JobScheduler::checkProgress(const StepSpec &spec, TaskRun &run, const RunningEntry &entry,
                                 const TimePoint &now)
{
    const bool isProgressing = entry.percentDone != run.percentDone
        || (spec.isLongRunning && entry.percentDone >= fullPercent);
    // A best-effort task may get no processor time from the other tasks.
    const bool isStarved = spec.isBestEffort && run.worker->idleMilliCores() < 0;
    run.percentDone = entry.percentDone;
    if (isProgressing || isStarved || run.throttlePercent < fullPercent)
        run.progressedAt = now.instant;
    const Core::Duration stalledFor = now.instant - run.progressedAt;
    if (run.isStopWanted || stalledFor < m_settings.stallTimeout)
        return;
    note(entry.task, "standstill",
         "worker=" + run.worker->info().id.text()
             + " percent=" + std::to_string(entry.percentDone));
    run.worker->noteTaskFailed(now.instant);
    requestStop(entry.task, run, now);
}

} // namespace Jobs
