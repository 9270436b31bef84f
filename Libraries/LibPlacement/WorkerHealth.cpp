#include <LibPlacement/WorkerHealth.h>

#include <algorithm>
#include <utility>

namespace Placement {

namespace {

constexpr Core::Duration pruneInterval = std::chrono::minutes(1);
/// The number of newest successes kept per worker.
constexpr std::size_t maximumSuccessesKept = 32;

} // namespace

WorkerHealth::WorkerHealth(const HealthSettings &settings)
    : m_settings(settings)
{
}

WorkerHealth::WorkerState &WorkerHealth::stateOf(WorkerSlot worker)
{
    if (worker >= m_workers.size())
        m_workers.resize(worker + 1);
    return m_workers[worker];
}

void WorkerHealth::succeeded(const Core::TaskId &job, WorkerSlot worker, Core::Instant now)
{
    WorkerState &state = stateOf(worker);
    if (state.successes.size() == maximumSuccessesKept)
        state.successes.erase(state.successes.begin());
    state.successes.push_back(now);
    const auto known = m_jobs.find(job);
    if (known != m_jobs.end())
        known->second.hasSucceeded = true;
    if (state.condition != WorkerCondition::OnProbation)
        return;
    if (++state.successesOnProbation < m_settings.successesToLeaveProbation)
        return;
    state = WorkerState {};
    m_changed.insert(worker);
}

void WorkerHealth::failed(const Core::TaskId &job, WorkerSlot worker, Core::Instant now)
{
    WorkerState &state = stateOf(worker);
    state.failedJobs.try_emplace(job, now);
    if (!hasFailedOn(job, worker))
        m_jobs[job].failures.push_back({ worker, now });
    m_workersWithNewFailures.insert(worker);
    if (state.condition == WorkerCondition::OnProbation && countsAgainst(job, worker)) {
        quarantine(worker, now);
        m_changed.insert(worker);
    }
}

std::vector<WorkerSlot> WorkerHealth::update(Core::Instant now, std::size_t listedWorkers)
{
    if (now >= m_nextPruneAt)
        prune(now);
    const std::size_t limit
        = std::max<std::size_t>(1, listedWorkers * m_settings.quarantinePercent / 100);
    for (const WorkerSlot worker : std::exchange(m_workersWithNewFailures, {})) {
        const bool isHealthy = m_workers[worker].condition == WorkerCondition::Healthy;
        if (!isHealthy || m_quarantined.size() >= limit || !isSuspect(worker))
            continue;
        quarantine(worker, now);
        m_changed.insert(worker);
    }
    for (const WorkerSlot worker : std::set<WorkerSlot>(m_quarantined)) {
        if (endQuarantine(worker, now))
            m_changed.insert(worker);
    }
    const std::set<WorkerSlot> changed = std::exchange(m_changed, {});
    return { changed.begin(), changed.end() };
}

WorkerCondition WorkerHealth::condition(WorkerSlot worker) const
{
    return worker < m_workers.size() ? m_workers[worker].condition : WorkerCondition::Healthy;
}

bool WorkerHealth::hasFailedOn(const Core::TaskId &job, WorkerSlot worker) const
{
    const auto known = m_jobs.find(job);
    if (known == m_jobs.end())
        return false;
    const std::vector<Failure> &failures = known->second.failures;
    const auto isHere = [worker](const Failure &failure) { return failure.worker == worker; };
    return std::any_of(failures.begin(), failures.end(), isHere);
}

std::size_t WorkerHealth::failuresOfJob(const Core::TaskId &job) const
{
    const auto known = m_jobs.find(job);
    if (known == m_jobs.end())
        return 0;
    const std::vector<Failure> &failures = known->second.failures;
    const auto counts = [this](const Failure &failure) { return !isSuspect(failure.worker); };
    return std::count_if(failures.begin(), failures.end(), counts);
}

bool WorkerHealth::isJobFaulty(const Core::TaskId &job, std::size_t listedWorkers) const
{
    const std::size_t needed
        = std::clamp<std::size_t>(listedWorkers, 1, m_settings.failedWorkersToHold);
    return failuresOfJob(job) >= needed;
}

void WorkerHealth::forgetJob(const Core::TaskId &job)
{
    const auto known = m_jobs.find(job);
    if (known == m_jobs.end())
        return;
    for (const Failure &failure : known->second.failures)
        m_workers[failure.worker].failedJobs.erase(job);
    m_jobs.erase(known);
}

bool WorkerHealth::countsAgainst(const Core::TaskId &job, WorkerSlot worker) const
{
    const auto known = m_jobs.find(job);
    // The job's own failures have expired, but the worker is still quarantined because of them.
    if (known == m_jobs.end())
        return true;
    if (known->second.hasSucceeded)
        return true;
    for (const Failure &failure : known->second.failures) {
        const bool isElsewhere = failure.worker != worker;
        if (isElsewhere && condition(failure.worker) == WorkerCondition::Healthy)
            return false;
    }
    return true;
}

WorkerHealth::Evidence WorkerHealth::evidence(WorkerSlot worker) const
{
    Evidence evidence;
    Core::Instant first = Core::Instant::max();
    for (const auto &[job, failedAt] : m_workers[worker].failedJobs) {
        if (!countsAgainst(job, worker))
            continue;
        ++evidence.jobsAgainst;
        first = std::min(first, failedAt);
    }
    const std::vector<Core::Instant> &successes = m_workers[worker].successes;
    evidence.successesSince = std::count_if(successes.begin(), successes.end(),
                                            [first](Core::Instant at) { return at >= first; });
    return evidence;
}

bool WorkerHealth::isSuspect(WorkerSlot worker) const
{
    if (condition(worker) != WorkerCondition::Healthy)
        return true;
    const Evidence found = evidence(worker);
    return found.jobsAgainst >= m_settings.failedJobsToQuarantine
        && found.jobsAgainst > found.successesSince;
}

void WorkerHealth::prune(Core::Instant now)
{
    m_nextPruneAt = now + pruneInterval;
    for (auto job = m_jobs.begin(); job != m_jobs.end();) {
        const bool isOld = job->second.failures.back().at + m_settings.window < now;
        job = isOld ? m_jobs.erase(job) : std::next(job);
    }
    for (WorkerState &worker : m_workers)
        pruneWorker(worker, now);
}

void WorkerHealth::pruneWorker(WorkerState &worker, Core::Instant now) const
{
    std::erase_if(worker.successes, [&](Core::Instant at) { return at + m_settings.window < now; });
    if (worker.condition == WorkerCondition::Quarantined)
        return;
    std::erase_if(worker.failedJobs,
                  [&](const auto &entry) { return !m_jobs.contains(entry.first); });
}

void WorkerHealth::quarantine(WorkerSlot worker, Core::Instant now)
{
    WorkerState &state = m_workers[worker];
    state.condition = WorkerCondition::Quarantined;
    const Core::Duration doubled
        = m_settings.quarantineTime * (1 << std::min(state.quarantines, 8));
    state.quarantinedUntil = now + std::min(doubled, m_settings.longestQuarantine);
    ++state.quarantines;
    m_quarantined.insert(worker);
}

bool WorkerHealth::endQuarantine(WorkerSlot worker, Core::Instant now)
{
    WorkerState &state = m_workers[worker];
    const bool isOver = now >= state.quarantinedUntil;
    const bool isCleared = evidence(worker).jobsAgainst == 0;
    if (!isOver && !isCleared)
        return false;
    if (isOver)
        state.failedJobs.clear();
    state.condition = isOver ? WorkerCondition::OnProbation : WorkerCondition::Healthy;
    state.successesOnProbation = 0;
    m_quarantined.erase(worker);
    return true;
}

} // namespace Placement
