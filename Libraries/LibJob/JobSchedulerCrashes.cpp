#include <LibJob/JobScheduler.h>

#include <algorithm>
#include <unordered_map>

namespace Jobs {

using std::chrono::milliseconds;

/// If more workers than one of this many had an isolated run, a crash of several workers couldn't
/// be told from crashes by suspects.
static constexpr std::size_t workersPerIsolatedRun = 8;
/// After another crash, a task that was suspected of this many isn't given up yet.
static constexpr std::size_t maxCrashesToShare = CrashHistory::maxCrashes - 2;
/// If one worker of five crashes for a common cause, one of this many witnesses does so too in 97
/// cases of 100.
static constexpr std::size_t maxWitnesses = 16;
/// How long witnesses are asked after the last isolated run: a crash may show only when a call
/// times out.
static constexpr Core::Duration witnessTime = milliseconds(2000);
/// How long a worker is kept for a suspect each time that it finds none: several reports' time.
static constexpr Core::Duration keptForSuspect = milliseconds(500);

std::vector<JobScheduler::StartedRun> JobScheduler::startedRuns(const WorkerState &worker)
{
    std::vector<StartedRun> runs;
    for (const TaskName &name : worker.runs()) {
        OwnedJob *job = findJob(name.job);
        const TaskState *task = job ? job->findTask(name) : nullptr;
        if (task && task->run && task->run->phase != RunPhase::Planned)
            runs.push_back({ job, name, task->run.get() });
    }
    return runs;
}

/// The runs that the report lists as running or ended.
static std::set<std::pair<TaskName, std::int64_t>> listedRuns(const WorkerReport &report)
{
    std::set<std::pair<TaskName, std::int64_t>> listed;
    for (const RunningEntry &entry : report.running)
        listed.emplace(entry.task, entry.run);
    for (const EndedEntry &entry : report.ended)
        listed.emplace(entry.task, entry.run);
    return listed;
}

std::vector<JobScheduler::StartedRun> JobScheduler::runsLostBefore(const WorkerState &worker,
                                                                   Core::Instant time,
                                                                   const WorkerReport &report)
{
    std::vector<StartedRun> runs = startedRuns(worker);
    const auto listed = listedRuns(report);
    std::erase_if(runs, [&](const StartedRun &started) {
        const bool wasRunning
            = started.run->phase == RunPhase::Running && started.run->phaseBeganAt <= time;
        return (!wasRunning && started.run->phase != RunPhase::Uncertain)
            || listed.contains({ started.name, started.run->number });
    });
    return runs;
}

/// A start without an answer doesn't show that the worker lived when the start was sent.
static bool isSuspect(const TaskRun &run)
{
    const bool wasDelivered = run.phase != RunPhase::Starting && !run.wasStartTimeout;
    return wasDelivered && !run.hasSurvivedStart();
}

std::vector<JobScheduler::StartedRun>
JobScheduler::suspectsAmong(const std::vector<StartedRun> &runs)
{
    std::vector<StartedRun> suspects;
    std::copy_if(runs.begin(), runs.end(), std::back_inserter(suspects),
                 [](const StartedRun &started) { return isSuspect(*started.run); });
    return suspects;
}

Suspicion JobScheduler::suspicionOf(const WorkerState &worker, const std::vector<StartedRun> &runs)
{
    if (runs.empty())
        return worker.isWitness() ? Suspicion::None : Suspicion::NoRuns;
    if (worker.hasIsolatedRun())
        return Suspicion::IsolatedRun;
    const bool hasStartingRun
        = std::any_of(runs.begin(), runs.end(),
                      [](const StartedRun &started) { return !started.run->hasSurvivedStart(); });
    return hasStartingRun ? Suspicion::StartingRuns : Suspicion::None;
}

bool JobScheduler::isOnlySuspect(const std::vector<StartedRun> &suspects)
{
    if (suspects.empty())
        return false;
    const TaskName &first = suspects.front().name;
    const bool isGang = suspects.front().job->spec(first.step).isGang;
    return std::all_of(suspects.begin(), suspects.end(), [&](const StartedRun &suspect) {
        const TaskName &name = suspect.name;
        const bool isOfGang = isGang && name.job == first.job && name.occurrence == first.occurrence
            && name.step == first.step;
        return name == first || isOfGang;
    });
}

void JobScheduler::noteSilence(const WorkerState &worker, const TimePoint &now)
{
    const std::vector<StartedRun> runs = startedRuns(worker);
    const std::size_t suspects = suspectsAmong(runs).size();
    m_silentWorkers.note(worker.info().id, now.instant, suspicionOf(worker, runs));
    const auto answered
        = std::chrono::duration_cast<milliseconds>(now.instant - worker.lastAnswerAt());
    m_log.noteWorker(worker.info().id.text(), "worker-silent",
                     "runs=" + std::to_string(runs.size()) + " suspects=" + std::to_string(suspects)
                         + " answered_ms_ago=" + std::to_string(answered.count()));
}

void JobScheduler::noteCrash(const WorkerState &worker, const std::vector<StartedRun> &lost,
                             std::string_view evidence, const TimePoint &now)
{
    const Core::VmId &id = worker.info().id;
    const std::vector<StartedRun> suspects = suspectsAmong(lost);
    const bool isOnly = isOnlySuspect(suspects);
    if (!lost.empty())
        m_log.noteWorker(id.text(), "worker-crashed",
                         "evidence=" + std::string(evidence) + " runs="
                             + std::to_string(lost.size()) + " suspects=" + namesOf(suspects));
    for (const StartedRun &suspect : suspects) {
        const SuspectedCrash crash { id, suspect.run->number, isOnly };
        countCrash(*suspect.job, suspect.name, crash, evidence, now);
    }
    const bool hasOtherCause = worker.hasIsolatedRun()
        || m_silentWorkers.hasOtherAboveSuspicion(id, silentSince(worker, now));
    for (const StartedRun &started : lost)
        noteLostRun(*started.job, started.name, *started.run, hasOtherCause);
    for (const StartedRun &doubt : doubtsAbout(id)) {
        const bool wasLostBefore = !doubt.run;
        if (wasLostBefore)
            settleAsCrash(*doubt.job, doubt.name, evidence, now);
    }
}

std::string JobScheduler::namesOf(const std::vector<StartedRun> &runs)
{
    std::string names;
    for (const StartedRun &run : runs)
        names += (names.empty() ? "" : ",") + run.name.text();
    return names;
}

void JobScheduler::countCrash(OwnedJob &job, const TaskName &name, const SuspectedCrash &crash,
                              std::string_view evidence, const TimePoint &now)
{
    const WorkerState *worker = findWorker(crash.worker);
    const Core::Instant silentAt = worker ? silentSince(*worker, now) : now.instant;
    const CrashHistory &history = job.crashHistory(name);
    if (history.lostRuns().contains(crash.run))
        return;
    const bool wasIsolated = worker && worker->isIsolated(name);
    const bool hasCommonCause = m_silentWorkers.hasOtherAboveSuspicion(crash.worker, silentAt)
        || (wasIsolated && m_silentWorkers.isOneOfMany(crash.worker, silentAt, m_listed.size()));
    SuspectedCrash counted = crash;
    counted.wasOnlySuspect &= !m_silentWorkers.hasOther(crash.worker, silentAt);
    note(name, "crash-counted",
         "worker=" + crash.worker.text() + " run=" + std::to_string(crash.run) + " evidence="
             + std::string(evidence) + " only_suspect=" + (counted.wasOnlySuspect ? '1' : '0')
             + " common_cause=" + (hasCommonCause ? '1' : '0'));
    const CrashHistory lost = history.withLostRun(crash.run);
    setCrashHistory(job, name, hasCommonCause ? lost : lost.withCrash(counted));
}

Core::Instant JobScheduler::silentSince(const WorkerState &worker, const TimePoint &now)
{
    const bool isSilent = worker.unresponsiveSince() != Core::Instant();
    return isSilent ? worker.unresponsiveSince() : now.instant;
}

void JobScheduler::noteLostRun(OwnedJob &job, const TaskName &name, const TaskRun &run,
                               bool hasOtherCause)
{
    const CrashHistory &history = job.crashHistory(name);
    if (run.hasRunFor(TaskRun::provenTime))
        setCrashHistory(job, name, {});
    else if (hasOtherCause && run.hasSurvivedStart())
        setCrashHistory(job, name, history.withExcusedRun(run.number));
    else
        setCrashHistory(job, name, history.withLostRun(run.number));
}

void JobScheduler::giveUpCrashing(const std::vector<StartedRun> &lost, const TimePoint &now)
{
    for (const StartedRun &started : lost)
        giveUpIfCrashing(*started.job, started.name, now);
}

void JobScheduler::giveUpIfCrashing(OwnedJob &job, const TaskName &name, const TimePoint &now)
{
    if (job.isOver())
        return;
    const CrashHistory history = job.sharedCrashHistory(name);
    if (!history.isToBeGivenUp())
        return;
    std::string workers;
    for (const SuspectedCrash &crash : history.crashes())
        workers += (workers.empty() ? "" : ",") + crash.worker.text();
    m_log.noteJobGivenUp(name, "crash-limit",
                         "lost_runs=" + std::to_string(history.lostRuns().size())
                             + " excused_runs=" + std::to_string(history.excusedRuns().size())
                             + " crashed_workers=" + workers);
    endEarly(job, JobState::Failed, now);
}

void JobScheduler::noteSeen(OwnedJob &job, const TaskName &name, const TaskRun &run)
{
    if (!run.hasSurvivedStart())
        return;
    run.worker->noteSurvivedStart(name);
    if (run.hasRunFor(TaskRun::provenTime))
        setCrashHistory(job, name, {});
}

void JobScheduler::setCrashHistory(OwnedJob &job, const TaskName &name, const CrashHistory &history)
{
    // Nearly all calls change nothing; only the others need a copy.
    if (history == job.crashHistory(name))
        return;
    const CrashHistory former = job.crashHistory(name);
    TaskState *task = job.findTask(name);
    if (!task || job.isOver())
        return;
    job.setCrashHistory(name, history);
    if (history.runInDoubt())
        m_doubts.insert(name);
    else
        m_doubts.erase(name);
    markDirty(job);
    const bool hasNewLoss = history.lostRuns() != former.lostRuns()
        || history.excusedRuns() != former.excusedRuns() || history.crashes() != former.crashes();
    if (hasNewLoss)
        task->neededCommit = m_lastCommit + 1;
}

void JobScheduler::recordRunsInDoubt(const WorkerState &worker)
{
    const WorkerInfo &info = worker.info();
    const std::vector<StartedRun> suspects = suspectsAmong(startedRuns(worker));
    const bool isOnly = isOnlySuspect(suspects);
    for (const StartedRun &suspect : suspects) {
        const CrashHistory &history = suspect.job->crashHistory(suspect.name);
        const bool isRecorded
            = history.runInDoubt() && history.runInDoubt()->run == suspect.run->number;
        if (isRecorded)
            continue;
        const RunInDoubt run { suspect.run->number, info.id, info.address,
                               worker.processStartUnixMs(), isOnly };
        setCrashHistory(*suspect.job, suspect.name, history.withRunInDoubt(run));
    }
}

std::vector<TaskName> JobScheduler::doubtsOf(const OwnedJob &job)
{
    std::vector<TaskName> doubts;
    for (const auto &[occurrence, steps] : job.progress().occurrences) {
        for (std::size_t step = 0; step < steps.size(); ++step) {
            for (const auto &[index, history] : steps[step].crashHistories) {
                if (history.runInDoubt())
                    doubts.push_back({ job.id(), occurrence, static_cast<int>(step), index });
            }
        }
    }
    return doubts;
}

std::vector<JobScheduler::StartedRun> JobScheduler::doubtsAbout(const Core::VmId &worker)
{
    std::vector<StartedRun> doubts;
    for (auto it = m_doubts.begin(); it != m_doubts.end();) {
        OwnedJob *job = findJob(it->job);
        const TaskState *task = job && !job->isOver() ? job->findTask(*it) : nullptr;
        if (!task || !job->crashHistory(*it).runInDoubt()) {
            it = m_doubts.erase(it);
            continue;
        }
        if (job->crashHistory(*it).runInDoubt()->worker == worker)
            doubts.push_back({ job, *it, task->run.get() });
        ++it;
    }
    return doubts;
}

void JobScheduler::withdrawDoubt(OwnedJob &job, const TaskName &name)
{
    if (job.crashHistory(name).runInDoubt())
        setCrashHistory(job, name, job.crashHistory(name).withoutRunInDoubt());
}

void JobScheduler::withdrawDoubtsAbout(const WorkerState &worker)
{
    if (m_doubts.empty() || !worker.isReconciled())
        return;
    for (const StartedRun &doubt : doubtsAbout(worker.info().id)) {
        if (!worker.isIsolated(doubt.name))
            withdrawDoubt(*doubt.job, doubt.name);
    }
}

void JobScheduler::settleDoubtsOfFormer(const WorkerState &worker, std::int64_t processStartUnixMs,
                                        const TimePoint &now)
{
    if (m_doubts.empty())
        return;
    for (const StartedRun &doubt : doubtsAbout(worker.info().id)) {
        const std::int64_t former
            = doubt.job->crashHistory(doubt.name).runInDoubt()->processStartUnixMs;
        if (!doubt.run && former != 0 && former < processStartUnixMs)
            settleAsCrash(*doubt.job, doubt.name, "restarted", now);
    }
}

void JobScheduler::settleDoubtsByList(const TimePoint &now)
{
    if (m_doubts.empty())
        return;
    const NewestAtAddress newestAt = newestAtAddresses();
    for (const TaskName &name : std::set<TaskName>(m_doubts)) {
        OwnedJob *job = findJob(name.job);
        const TaskState *task = job && !job->isOver() ? job->findTask(name) : nullptr;
        // While the run isn't known to be gone, the worker itself is asked.
        if (!task || task->run)
            continue;
        const std::optional<RunInDoubt> run = job->crashHistory(name).runInDoubt();
        if (!run || run->processStartUnixMs == 0)
            continue;
        const auto newest = newestAt.find(run->address);
        if (newest != newestAt.end() && newest->second > run->processStartUnixMs)
            settleAsCrash(*job, name, "listed", now);
    }
}

JobScheduler::NewestAtAddress JobScheduler::newestAtAddresses() const
{
    NewestAtAddress newestAt;
    for (const WorkerState *worker : m_listed) {
        std::int64_t &newest = newestAt[worker->info().address];
        newest = std::max(newest, worker->info().processStartUnixMs);
    }
    return newestAt;
}

void JobScheduler::askReplacedWorkers(const TimePoint &now)
{
    std::vector<WorkerState *> silent;
    for (const auto &[id, worker] : m_workers) {
        if (worker->isUnresponsive() && !worker->isReplaced() && !worker->runs().empty())
            silent.push_back(worker.get());
    }
    if (silent.empty())
        return;
    const NewestAtAddress newestAt = newestAtAddresses();
    for (WorkerState *worker : silent) {
        const auto newest = newestAt.find(worker->info().address);
        if (newest != newestAt.end() && newest->second > worker->processStartUnixMs())
            worker->setNextRenewalAt(now.instant);
    }
}

void JobScheduler::settleAsCrash(OwnedJob &job, const TaskName &name, std::string_view evidence,
                                 const TimePoint &now)
{
    const RunInDoubt run = *job.crashHistory(name).runInDoubt();
    countCrash(job, name, { run.worker, run.run, run.isOnlySuspect }, evidence, now);
    withdrawDoubt(job, name);
    giveUpIfCrashing(job, name, now);
}

void JobScheduler::countIsolatingWorkers()
{
    m_isolatingWorkers = static_cast<std::size_t>(
        std::count_if(m_listed.begin(), m_listed.end(),
                      [](const WorkerState *worker) { return worker->hasIsolatedRun(); }));
}

void JobScheduler::appointWitnesses(const TimePoint &now)
{
    if (m_isolatingWorkers > 0)
        m_needsWitnessesUntil = now.instant + witnessTime;
    const bool areNeeded = now.instant < m_needsWitnessesUntil;
    std::size_t witnesses = 0;
    for (WorkerState *worker : m_listed) {
        const bool isWitness = areNeeded && worker->runs().empty() && witnesses < maxWitnesses;
        worker->setWitness(isWitness);
        witnesses += isWitness ? 1 : 0;
    }
}

WorkerState *JobScheduler::isolatedWorkerOf(OwnedJob &job) const
{
    for (auto it = m_doubts.lower_bound({ job.id(), 0, 0, 0 });
         it != m_doubts.end() && it->job == job.id(); ++it) {
        const TaskState *task = job.findTask(*it);
        if (task && task->run && task->run->worker->isIsolated(*it))
            return task->run->worker;
    }
    return nullptr;
}

IsolationBounds JobScheduler::isolationBounds(OwnedJob &job, const TaskName &name,
                                              bool isOverdue) const
{
    const CrashHistory &history = job.crashHistory(name);
    const std::size_t crashes = history.crashes().size() + (history.runInDoubt() ? 1 : 0);
    IsolationBounds bounds;
    bounds.workerOfJob = isolatedWorkerOf(job);
    bounds.mayBegin = m_isolatingWorkers <= m_listed.size() / workersPerIsolatedRun;
    const bool isGang = job.spec(name.step).isGang;
    bounds.mayShare = !isGang && isOverdue && crashes <= maxCrashesToShare;
    return bounds;
}

void JobScheduler::planSuspect(const WaitingStep &waiting, int index, std::int64_t run,
                               const TimePoint &now)
{
    OwnedJob &job = *waiting.job;
    // The run must be recorded as in doubt before it is sent.
    if (!m_isStoreReachable)
        return;
    const PlacementRequest request = placementRequest(waiting, index, now);
    if (!request.isolation.mayStart())
        return;
    WorkerState *worker = m_chooser.choose(request);
    if (!worker) {
        // Workers with isolated runs are free for others again soon.
        const bool awaitsOthers = request.isolation.workerOfJob || !request.isolation.mayBegin;
        if (!awaitsOthers) {
            keepWorkerForSuspect(request);
            reserveForOverdue(waiting, index, now);
        }
        logWaitReason(waiting, request, now);
        return;
    }
    if (askIfUnheard(request, *worker))
        return;
    m_planningWork += workPerTask;
    m_reservations.release(request.task);
    addRun(job, request.task, *worker, run, RunPhase::Planned, now);
    isolateRun(job, request.task, request.isolation.mayShare);
    job.notePlannedStart(waiting.step, index, worker->info().id);
    markDirty(job);
}

void JobScheduler::isolateRun(OwnedJob &job, const TaskName &name, bool mayBeShared)
{
    TaskRun &run = *job.findTask(name)->run;
    const WorkerInfo &worker = run.worker->info();
    if (!run.worker->hasIsolatedRun())
        ++m_isolatingWorkers;
    run.worker->isolate(name, mayBeShared);
    // The start may never reach the worker, so a crash alone doesn't show that this was its cause.
    const RunInDoubt doubt { run.number, worker.id, worker.address,
                             run.worker->processStartUnixMs(), false };
    setCrashHistory(job, name, job.crashHistory(name).withRunInDoubt(doubt));
    run.neededCommit = m_lastCommit + 1;
}

void JobScheduler::keepWorkerForSuspect(const PlacementRequest &request)
{
    WorkerState *best = nullptr;
    for (WorkerState *worker :
         m_chooser.unsuitableFor(Unsuitability::NotIsolated, m_listed, request)) {
        if (!best || WorkerChooser::isLessHarmful(*worker, *best))
            best = worker;
    }
    if (best)
        best->keepForSuspect(request.now + keptForSuspect);
}

} // namespace Jobs
