#include <LibJob/JobScheduler.h>

#include <algorithm>
#include <utility>

namespace Jobs {

using std::chrono::milliseconds;

/// Upper bound of the time to the next wakeup, so that waiting tasks are planned again even if no
/// input has changed.
static constexpr Core::Duration passInterval = milliseconds(200);
JobScheduler::JobScheduler(const SchedulerSettings &settings, const Ownership &ownership,
                           DecisionLog &decisionLog)
    : m_settings(settings)
    , m_ownership(ownership)
    , m_newestToken(ownership.token)
    , m_log(decisionLog)
    , m_now(ownership.provenAt)
    , m_formerLeaseEnds(ownership.formerLeaseEnds)
    , m_suspensions(ownership.recordedSuspensions)
    , m_overload(settings.renewalInterval)
    , m_provenAt(ownership.provenAt)
{
    for (const Core::VmId &worker : ownership.recordedSuspensions)
        m_formerLeaseEnds.try_emplace(worker, ownership.formerLeasesEndAt);
}

void JobScheduler::note(const TaskName &task, std::string_view event, const std::string &inputs)
{
    m_log.note(task.text(), event, inputs);
}

OwnedJob *JobScheduler::findJob(const JobId &id)
{
    const auto found = m_jobs.find(id);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

WorkerState *JobScheduler::findWorkerState(const Core::VmId &id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : found->second.get();
}

const WorkerState *JobScheduler::findWorker(const Core::VmId &id) const
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : found->second.get();
}

const Queue *JobScheduler::queueOf(const OwnedJob &job) const
{
    // A job whose queue was removed continues with the configuration under which it was accepted.
    const Queue *queue = m_catalogue.findQueue(job.submission().queue.id);
    return queue ? queue : &job.submission().queue;
}

void JobScheduler::markDirty(OwnedJob &job)
{
    if (job.isDirty || job.hasNewWorkers)
        m_dirty.insert(job.id());
}

Core::Instant JobScheduler::dueAt(const OwnedJob &job, int occurrence, const TimePoint &now) const
{
    const JobSpec &spec = job.submission().spec;
    const std::int64_t dueUnixMs
        = spec.isScheduled() ? spec.dueUnixMs(occurrence) : job.submission().submittedUnixMs;
    return now.instant - milliseconds(now.unixMs - dueUnixMs);
}

static std::optional<int> mostUrgentPriority(const Catalogue &catalogue)
{
    const auto isMoreUrgent
        = [](const Queue &left, const Queue &right) { return left.priority < right.priority; };
    const auto [first, last]
        = std::minmax_element(catalogue.queues.begin(), catalogue.queues.end(), isMoreUrgent);
    if (first == catalogue.queues.end() || first->priority == last->priority)
        return std::nullopt;
    return first->priority;
}

bool JobScheduler::isUrgent(const OwnedJob &job) const
{
    return m_urgentPriority && queueOf(job)->priority <= *m_urgentPriority;
}

void JobScheduler::setCatalogue(const Catalogue &catalogue)
{
    m_catalogue = catalogue;
    m_urgentPriority = mostUrgentPriority(catalogue);
    setCustomers(catalogue);
    m_needsPass = true;
}

void JobScheduler::setOutOfService(const std::set<Core::FailureDomainId> &domains)
{
    m_outOfService = domains;
    m_needsPass = true;
}

void JobScheduler::setStoreReachable(bool isReachable)
{
    if (m_isStoreReachable == isReachable)
        return;
    m_isStoreReachable = isReachable;
    m_needsPass = true;
    // Planned runs can't become durable for now and would occupy capacity for tasks that can start.
    if (!isReachable)
        discardAllPlannedRuns();
}

void JobScheduler::setStartsHeld(bool areHeld)
{
    if (m_areStartsHeld == areHeld)
        return;
    m_areStartsHeld = areHeld;
    m_needsPass = true;
    if (areHeld)
        discardAllPlannedRuns();
}

void JobScheduler::discardAllPlannedRuns()
{
    for (const auto &[id, job] : m_jobs)
        discardPlannedRuns(*job);
}

void JobScheduler::setWorkers(const std::vector<WorkerInfo> &workers, const TimePoint &now)
{
    std::unordered_set<WorkerState *> unlisted(m_listed.begin(), m_listed.end());
    m_listed.clear();
    m_needsPass = true;
    for (const WorkerInfo &info : workers) {
        std::unique_ptr<WorkerState> &state = m_workers[info.id];
        if (!state) {
            // The newest token, since the worker may have seen it before it was forgotten here.
            state = std::make_unique<WorkerState>(info, m_settings, m_newestToken);
            state->observeRenewals(m_renewalQueue);
            state->observeCapacity(m_capacityIndex);
            state->setLeaseSuspended(m_suspensions.isSuspended(info.id));
        }
        const bool startsDraining = info.isDraining && !state->info().isDraining;
        state->update(info);
        state->setListed(m_listed.size());
        m_listed.push_back(state.get());
        unlisted.erase(state.get());
        if (info.processStartUnixMs != 0 && state->processStartUnixMs() != 0
            && info.processStartUnixMs > state->processStartUnixMs()) {
            awaitReport(*state, now);
        }
        if (!startsDraining)
            continue;
        for (const TaskName &name : TaskNames(state->runs())) {
            OwnedJob *job = findJob(name.job);
            TaskState *task = job ? job->findTask(name) : nullptr;
            if (task && task->run && job->spec(name.step).isLongRunning)
                requestStop(name, *task->run, now);
        }
    }
    for (WorkerState *worker : unlisted)
        worker->setUnlisted();
    settleDoubtsByList(now);
    askReplacedWorkers(now);
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        const bool mayRunUnwanted = !it->second->unwantedUse().ofCustomers.empty()
            && now.instant <= it->second->latestLeaseEnd();
        const bool isForgotten = !it->second->isListed() && it->second->runs().empty()
            && !it->second->isRenewing() && !mayRunUnwanted;
        if (isForgotten) {
            m_reservations.forget(*it->second);
            forgetWorker(*it->second);
        }
        it = isForgotten ? m_workers.erase(it) : std::next(it);
    }
}

void JobScheduler::awaitReport(WorkerState &worker, const TimePoint &now)
{
    // Only a report can show which runs still exist; this requests one immediately.
    worker.setNextRenewalAt(now.instant);
    worker.setReconciled(false);
}

void JobScheduler::rememberEndedJob(const JobId &id, std::int64_t endedUnixMs)
{
    const bool isNew = m_endedIds.insert(id).second;
    if (isNew)
        m_endedByTime.emplace(endedUnixMs, id);
}

void JobScheduler::addJob(const JobEntry &entry, const TimePoint &now)
{
    const JobId &id = entry.submission.id;
    if (m_jobs.contains(id) || m_endedIds.contains(id))
        return;
    if (entry.progress && entry.progress->isFinal()) {
        rememberEndedJob(id, entry.progress->endedUnixMs);
        noteRemainingUse(entry.submission.customer, entry.remainingUse);
        return;
    }
    JobPtr &job = m_jobs[id];
    job = std::make_unique<OwnedJob>(entry);
    if (!m_ownership.areFormerStartsRecorded && entry.progress)
        job->forgetStartedTasks();
    job->timing = JobTiming(entry.submission.spec.steps.size(), now.instant);
    for (const StepSpec &step : entry.submission.spec.steps)
        job->images.push_back(m_images.indexOf(step.image));
    const std::vector<TaskName> doubts = doubtsOf(*job);
    m_doubts.insert(doubts.begin(), doubts.end());
    if (entry.submission.spec.isScheduled())
        m_scheduled.insert(id);
    if (job->hasLongRunningSteps())
        m_longRunning.insert(id);
    m_order.noteJob(entry.submission.queue.id, job->totalWork());
    noteExcess(*job, entry.progress.has_value(), now);
    beginDueOccurrences(*job, now);
    // No task starts before the first progress is recorded.
    if (entry.progress)
        job->noteFormerRuns(std::min(now.instant, dueAt(*job, 0, now)));
    markDirty(*job);
    m_needsPass = true;
    m_isOtherUseOutdated |= !entry.workers.empty();
    if (entry.isCancelled)
        cancelJob(id, now);
}

void JobScheduler::cancelJob(const JobId &id, const TimePoint &now)
{
    OwnedJob *job = findJob(id);
    if (job)
        endEarly(*job, JobState::Cancelled, now);
}

void JobScheduler::endEarly(OwnedJob &job, JobState state, const TimePoint &now)
{
    if (job.isOver())
        return;
    job.finish(state, now.unixMs);
    job.endKnownAt = now.instant;
    markDirty(job);
    discardPlannedRuns(job);
    stopAllRuns(job, now);
    m_needsPass = true;
}

ProgressRecord JobScheduler::failOversizedJob(const JobId &id, const TimePoint &now)
{
    OwnedJob *job = findJob(id);
    endEarly(*job, JobState::Failed, now);
    ProgressRecord record {
        id, job->recordedProgress(), {}, job->submission().customer, remainingUse(*job)
    };
    record.progress.occurrences.clear();
    record.progress.endedOccurrences = {};
    return record;
}

void JobScheduler::addToCommit(OwnedJob &job, Commit &commit)
{
    if (job.isOver() && !job.hasRuns()) {
        addEndToCommit(job, commit);
        return;
    }
    // The first progress goes with the first workers, so that a job whose progress is too large for
    // a record fails before any task of it starts.
    if (!std::exchange(job.isProgressRecorded, true))
        job.isDirty = true;
    auto &committedWorkers = m_committing[job.id()];
    if (std::exchange(job.hasNewWorkers, false)) {
        job.beginRecordingWorkers();
        committedWorkers = job.workersRecord();
        commit.records.emplace_back(*committedWorkers);
    }
    if (!std::exchange(job.isDirty, false))
        return;
    ProgressRecord record { job.id(), job.recordedProgress() };
    if (job.isOver()) {
        record.customer = job.submission().customer;
        record.remainingUse = remainingUse(job);
    }
    commit.records.emplace_back(std::move(record));
}

void JobScheduler::addEndToCommit(OwnedJob &job, Commit &commit)
{
    job.isProgressRecorded = true;
    job.isDirty = false;
    job.hasNewWorkers = false;
    m_committing[job.id()];
    commit.records.emplace_back(EndedJob { job.id(), job.progress().state,
                                           job.progress().endedUnixMs, job.submission().customer,
                                           remainingUse(job) });
}

Commit JobScheduler::takeCommit()
{
    Commit commit;
    commit.number = ++m_lastCommit;
    for (const JobId &id : m_begun) {
        if (OwnedJob *job = findJob(id))
            job->isDirty = true;
    }
    m_dirty.merge(m_begun);
    m_begun.clear();
    for (const JobId &id : m_dirty) {
        if (OwnedJob *job = findJob(id))
            addToCommit(*job, commit);
    }
    m_dirty.clear();
    m_needsProof = false;
    addSuspensions(commit);
    for (const JobId &id : m_pastRetention)
        commit.records.emplace_back(JobDeletion { id });
    m_pastRetention.clear();
    return commit;
}

void JobScheduler::onCommitted(std::int64_t number, Core::Instant provenAt, const TimePoint &now)
{
    m_committed = number;
    noteProven(provenAt);
    m_needsPass |= m_needsProof;
    noteSuspensionsDurable(now);
    renewWithHigherTokens(now);
    m_needsProof = std::any_of(m_listed.begin(), m_listed.end(), [&](const WorkerState *worker) {
        return worker->contactBeganAt() > m_provenAt;
    });
    for (const auto &[id, workers] : m_committing) {
        OwnedJob *job = findJob(id);
        if (!job)
            continue;
        if (workers)
            job->setDurableWorkers(*workers);
        startPlannedRuns(*job, now);
        noteEndDurable(*job, now);
        const bool isFinished
            = job->isOver() && !job->isDirty && !job->hasNewWorkers && !job->hasRuns();
        if (isFinished) {
            rememberEndedJob(id, job->progress().endedUnixMs);
            noteRemainingUse(job->submission().customer, unseenUse(*job, now.unixMs));
            m_scheduled.erase(id);
            m_longRunning.erase(id);
            m_pass.leave(*job);
            m_jobs.erase(id);
        }
    }
    m_committing.clear();
    acknowledgeEnds(now);
}

void JobScheduler::renewWithHigherTokens(const TimePoint &now)
{
    for (WorkerState *worker : m_listed) {
        if (worker->needsHigherToken() && m_newestToken > worker->token())
            worker->renewBy(now.instant);
    }
}

bool JobScheduler::isDeposedBy(const Core::VmId &id, FencingToken token) const
{
    const WorkerState *worker = findWorker(id);
    return !worker || token >= worker->token();
}

void JobScheduler::acknowledgeEnds(const TimePoint &now)
{
    for (auto it = m_withUncommittedEnds.begin(); it != m_withUncommittedEnds.end();) {
        WorkerState *worker = findWorkerState(*it);
        if (worker && worker->hasUncommittedEnds()) {
            worker->noteCommitted(m_committed);
            if (worker->hasUncommittedEnds()) {
                ++it;
                continue;
            }
            worker->renewBy(now.instant + renewalInterval(*worker));
        }
        it = m_withUncommittedEnds.erase(it);
    }
}

void JobScheduler::noteEndDurable(OwnedJob &job, const TimePoint &now)
{
    // A job that ended while the commit was under way is dirty again.
    if (!job.isOver() || job.isDirty || job.isEndDurable)
        return;
    job.isEndDurable = true;
    const Queue &queue = *queueOf(job);
    m_log.noteEndDurable(now.instant - job.endKnownAt);
    const JobSpec &spec = job.submission().spec;
    if (job.progress().state != JobState::Completed || spec.isScheduled())
        return;
    const Core::Instant due = dueAt(job, 0, now);
    const Core::Duration objective = StartOrder::objective(job, queue);
    if (now.instant <= due + objective)
        return;
    const auto inMs = [](Core::Duration duration) {
        return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
    };
    m_log.note(job.id().text(), "late-job",
               "queue=" + queue.id.text() + " priority=" + std::to_string(queue.priority)
                   + " total_ms=" + inMs(now.instant - due) + " objective_ms=" + inMs(objective)
                   + ' ' + job.timing.describe(due));
}

void JobScheduler::deleteOldJobs(const TimePoint &now)
{
    const std::int64_t retentionMs
        = std::chrono::duration_cast<milliseconds>(m_settings.retention).count();
    while (!m_endedByTime.empty() && m_endedByTime.begin()->first + retentionMs < now.unixMs) {
        m_pastRetention.push_back(m_endedByTime.begin()->second);
        m_endedIds.erase(m_endedByTime.begin()->second);
        m_endedByTime.erase(m_endedByTime.begin());
    }
}

Core::Duration JobScheduler::renewalInterval(const WorkerState &worker) const
{
    return m_overload.renewalInterval(worker.urgentRuns > 0);
}

std::size_t JobScheduler::waitingCount() const
{
    std::size_t count = 0;
    for (const auto &[id, job] : m_jobs) {
        for (const auto &[occurrence, steps] : job->occurrences()) {
            for (const OwnedStep &step : steps)
                count += step.isReady ? static_cast<std::size_t>(step.waitingCount) : 0;
        }
    }
    return count;
}

std::int64_t JobScheduler::freeMilliCores() const
{
    std::int64_t free = 0;
    for (const WorkerState *worker : m_listed)
        free += worker->freeResources().milliCores;
    return free;
}

std::int64_t JobScheduler::idleMilliCores() const
{
    std::int64_t idle = 0;
    for (const WorkerState *worker : m_listed)
        idle += worker->idleMilliCores();
    return idle;
}

Core::Instant JobScheduler::nextWakeup(const TimePoint &now) const
{
    // The answer to a start leads to a call, so a pass that waits for the start window needs none.
    if (!m_pass.isOver() && !m_isDeposed && !isStartWindowFull())
        return now.instant;
    if (isThrottleSweepUnderWay())
        return now.instant;
    Core::Instant next = now.instant + passInterval;
    if (m_needsPass && !isStartWindowFull())
        next = std::min(next, m_nextPassAt);
    return std::max(m_renewalQueue.nextDueAt(next), now.instant);
}

} // namespace Jobs
