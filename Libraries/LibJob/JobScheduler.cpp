#include <LibJob/JobScheduler.h>

#include <algorithm>

namespace Jobs {

using std::chrono::milliseconds;

/// Waiting tasks are looked at again after this time even if nothing seems to have changed.
static constexpr Core::Duration passInterval = milliseconds(200);
/// A processor that is given out in tenths of a second runs that late without being overloaded.
static constexpr Core::Duration toleratedLag = milliseconds(100);
/// How much longer a worker isn't asked for each millisecond that the owner runs late.
static constexpr int lagStretch = 2;
/// Leases must be renewed in time however late the owner runs.
static constexpr Core::Duration longestStretch = milliseconds(600);

JobScheduler::JobScheduler(const SchedulerSettings &settings, const Ownership &ownership,
                           DecisionLog &decisionLog)
    : m_settings(settings)
    , m_ownership(ownership)
    , m_log(decisionLog)
{
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
    // A job outlives its queue: it goes on as it was accepted.
    const Queue *queue = m_catalogue.findQueue(job.submission().queue.id);
    return queue ? queue : &job.submission().queue;
}

void JobScheduler::markDirty(OwnedJob &job)
{
    if (job.isDirty)
        m_dirty.insert(job.id());
}

Core::Instant JobScheduler::dueAt(const OwnedJob &job, int occurrence, const Moment &now) const
{
    const JobSpec &spec = job.submission().spec;
    std::int64_t dueUnixMs = job.submission().submittedUnixMs;
    if (spec.isScheduled())
        dueUnixMs = spec.firstDueUnixMs + occurrence * spec.intervalMs;
    return now.instant - milliseconds(now.unixMs - dueUnixMs);
}

void JobScheduler::setCatalogue(const Catalogue &catalogue)
{
    m_catalogue = catalogue;
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
    // What can't be made durable for now must not keep its room from what can start.
    if (!isReachable)
        dropAllPlanned();
}

void JobScheduler::setStartsHeld(bool areHeld)
{
    if (m_areStartsHeld == areHeld)
        return;
    m_areStartsHeld = areHeld;
    m_needsPass = true;
    if (areHeld)
        dropAllPlanned();
}

void JobScheduler::dropAllPlanned()
{
    for (const auto &[id, job] : m_jobs)
        dropPlanned(*job);
}

void JobScheduler::setWorkers(const std::vector<WorkerInfo> &workers, const Moment &now)
{
    for (WorkerState *worker : m_listed)
        worker->isListed = false;
    m_listed.clear();
    m_needsPass = true;
    for (const WorkerInfo &info : workers) {
        std::unique_ptr<WorkerState> &state = m_workers[info.id];
        if (!state)
            state = std::make_unique<WorkerState>(info, m_settings);
        const bool isLeaving = info.isDraining && !state->info().isDraining;
        state->update(info);
        state->isListed = true;
        m_listed.push_back(state.get());
        if (info.bornUnixMs != 0 && state->bornUnixMs() != 0
            && info.bornUnixMs > state->bornUnixMs()) {
            // The reports decide about its runs; this only asks for one.
            state->nextRenewalAt = now.instant;
            state->setSurveyed(false);
        }
        if (!isLeaving)
            continue;
        for (const TaskName &name : std::set<TaskName>(state->runs())) {
            OwnedJob *job = findJob(name.job);
            TaskState *task = job ? job->findTask(name) : nullptr;
            if (task && task->run && job->spec(name.step).isLongRunning)
                requestStop(name, *task->run, now);
        }
    }
    for (auto it = m_workers.begin(); it != m_workers.end();) {
        const bool isForgotten
            = !it->second->isListed && it->second->runs().empty() && !it->second->isRenewing;
        it = isForgotten ? m_workers.erase(it) : std::next(it);
    }
}

void JobScheduler::noteSettled(const JobId &id, std::int64_t endedUnixMs)
{
    const bool isNew = m_settled.insert(id).second;
    if (isNew)
        m_ended.emplace(endedUnixMs, id);
}

void JobScheduler::addJob(const JobEntry &entry, const Moment &now)
{
    const JobId &id = entry.submission.id;
    if (m_jobs.contains(id) || m_settled.contains(id))
        return;
    if (entry.progress && entry.progress->isFinal()) {
        noteSettled(id, entry.progress->endedUnixMs);
        return;
    }
    JobPtr &job = m_jobs[id];
    job = std::make_unique<OwnedJob>(entry);
    for (const StepSpec &step : entry.submission.spec.steps)
        job->images.push_back(m_images.indexOf(step.image));
    if (entry.submission.spec.isScheduled())
        m_scheduled.insert(id);
    m_order.noteJob(entry.submission.queue.id, job->wholeWork());
    beginDueOccurrences(*job, now);
    m_needsPass = true;
    if (entry.isCancelled)
        cancelJob(id, now);
}

void JobScheduler::cancelJob(const JobId &id, const Moment &now)
{
    OwnedJob *job = findJob(id);
    if (job)
        endEarly(*job, JobState::Cancelled, now);
}

void JobScheduler::endEarly(OwnedJob &job, JobState state, const Moment &now)
{
    if (job.isOver())
        return;
    job.finish(state, now.unixMs);
    markDirty(job);
    dropPlanned(job);
    stopAllRuns(job, now);
    m_needsPass = true;
}

ProgressRecord JobScheduler::giveUp(const JobId &id, const Moment &now)
{
    OwnedJob *job = findJob(id);
    endEarly(*job, JobState::Failed, now);
    ProgressRecord record { id, job->progress() };
    record.progress.occurrences.clear();
    record.progress.endedOccurrences.clear();
    return record;
}

Commit JobScheduler::takeCommit()
{
    Commit commit;
    commit.number = ++m_lastCommit;
    m_dirty.merge(m_begun);
    m_begun.clear();
    for (const JobId &id : m_dirty) {
        OwnedJob *job = findJob(id);
        if (!job)
            continue;
        job->isDirty = false;
        m_committing[id] = job->progress().workers;
        commit.records.emplace_back(ProgressRecord { id, job->progress() });
    }
    m_dirty.clear();
    m_isProofWanted = false;
    for (const JobId &id : m_expired)
        commit.records.emplace_back(JobDropped { id });
    m_expired.clear();
    return commit;
}

void JobScheduler::onCommitted(std::int64_t number, Core::Instant provenAt, const Moment &now)
{
    m_committed = number;
    m_provenAt = provenAt;
    m_needsPass |= m_isProofWanted;
    m_isProofWanted = std::any_of(m_listed.begin(), m_listed.end(), [&](const WorkerState *worker) {
        return worker->metAt() > m_provenAt;
    });
    for (const auto &[id, workers] : m_committing) {
        OwnedJob *job = findJob(id);
        if (!job)
            continue;
        job->noteDurable(workers);
        releasePlanned(*job, now);
        const bool isSettled = job->isOver() && !job->isDirty && !job->hasRuns();
        if (isSettled) {
            noteSettled(id, job->progress().endedUnixMs);
            m_scheduled.erase(id);
            m_jobs.erase(id);
        }
    }
    m_committing.clear();
    for (const auto &[id, worker] : m_workers) {
        const bool hadUncommitted = worker->hasUncommittedEnds();
        worker->noteCommitted(number);
        if (hadUncommitted && !worker->hasUncommittedEnds())
            worker->nextRenewalAt = std::min(worker->nextRenewalAt, now.instant + renewalSpacing());
    }
}

void JobScheduler::dropOldJobs(const Moment &now)
{
    const std::int64_t kept
        = std::chrono::duration_cast<milliseconds>(m_settings.retention).count();
    while (!m_ended.empty() && m_ended.begin()->first + kept < now.unixMs) {
        m_expired.push_back(m_ended.begin()->second);
        m_settled.erase(m_ended.begin()->second);
        m_ended.erase(m_ended.begin());
    }
}

void JobScheduler::noteLag(Core::Duration lag)
{
    m_lag = lag;
}

Core::Duration JobScheduler::renewalSpacing() const
{
    const Core::Duration stretch = lagStretch * (m_lag - toleratedLag);
    return m_settings.renewalSpacing + std::clamp(stretch, Core::Duration(), longestStretch);
}

bool JobScheduler::wantsRenewal(const WorkerState &worker)
{
    if (worker.isRenewing)
        return false;
    // One that was silent is asked until it answers, or it would never get a task again.
    return !worker.runs().empty()
        || (worker.isListed && (!worker.isSurveyed() || worker.isSilent()));
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
        free += worker->freeRoom().milliCores;
    return free;
}

std::int64_t JobScheduler::idleMilliCores() const
{
    std::int64_t idle = 0;
    for (const WorkerState *worker : m_listed)
        idle += worker->idleMilliCores();
    return idle;
}

Core::Instant JobScheduler::nextWakeup(const Moment &now) const
{
    Core::Instant next = now.instant + passInterval;
    if (m_needsPass)
        next = std::min(next, m_nextPassAt);
    for (const auto &[id, worker] : m_workers) {
        if (wantsRenewal(*worker))
            next = std::min(next, worker->nextRenewalAt);
    }
    return std::max(next, now.instant);
}

} // namespace Jobs
