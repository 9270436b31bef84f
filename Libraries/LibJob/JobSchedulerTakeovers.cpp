#include <LibJob/JobScheduler.h>

#include <algorithm>
#include <utility>

namespace Jobs {

using std::chrono::milliseconds;

/// How long the suspension of a worker that nobody knows any more stays in the store after its last
/// lease has ended: jobs may name the worker until then.
static constexpr Core::Duration suspensionRetention = std::chrono::seconds(60);
/// While the last proof of ownership is older, the store may be away.
static constexpr Core::Duration freshProof = milliseconds(1000);

Core::Instant JobScheduler::formerLeaseEnd(const Core::VmId &worker) const
{
    const auto found = m_formerLeaseEnds.find(worker);
    return found == m_formerLeaseEnds.end() ? m_ownership.formerLeasesEndAt : found->second;
}

Core::Instant JobScheduler::lastLeaseEnd(const Core::VmId &id) const
{
    const WorkerState *worker = findWorker(id);
    if (!worker)
        return formerLeaseEnd(id);
    // The first answer has shown that the worker rejects the commands of former owners.
    const bool isFenced = worker->firstReportAt() != Core::Instant();
    const Core::Instant formerEnd = isFenced ? Core::Instant() : formerLeaseEnd(id);
    return std::max(formerEnd, worker->latestLeaseEnd());
}

void JobScheduler::suspendLeases(WorkerState &worker, const TimePoint &now)
{
    if (now.instant > m_provenAt + freshProof)
        return;
    worker.setLeaseSuspended(true);
    m_suspensions.suspend(worker.info().id);
}

void JobScheduler::suspendOverdueWorkers(const TimePoint &now)
{
    for (WorkerState *worker : m_listed) {
        if (worker->isAnswerOverdue(now.instant) && !worker->isLeaseSuspended())
            suspendLeases(*worker, now);
    }
}

void JobScheduler::liftForgottenSuspensions(const TimePoint &now)
{
    std::erase_if(m_formerLeaseEnds, [&](const auto &entry) {
        const auto &[id, leaseEnd] = entry;
        const bool isPast = now.instant > leaseEnd + suspensionRetention && !findWorker(id);
        if (isPast)
            m_suspensions.lift(id);
        return isPast;
    });
}

void JobScheduler::addSuspensions(Commit &commit)
{
    for (const Core::VmId &worker : m_suspensions.takeChanges()) {
        LeaseSuspension record;
        record.worker = worker;
        record.term = m_ownership.term;
        record.isLifted = !m_suspensions.isWanted(worker);
        const Core::Duration remaining = lastLeaseEnd(worker) - m_now;
        if (!record.isLifted && remaining > Core::Duration())
            record.remainingMs = std::chrono::ceil<milliseconds>(remaining).count();
        commit.records.emplace_back(std::move(record));
    }
}

void JobScheduler::noteSuspensionsDurable(const TimePoint &now)
{
    for (const Core::VmId &id : m_suspensions.onCommitted()) {
        WorkerState *worker = findWorkerState(id);
        if (!worker)
            continue;
        worker->setLeaseSuspended(false);
        // The worker has answered, and the leases on it wait to be extended.
        worker->renewBy(now.instant);
        m_needsPass = true;
    }
}

void JobScheduler::settleFormerLeases(const TimePoint &now)
{
    if (m_areFormerLeasesSettled || now.instant < m_ownership.formerLeasesEndAt)
        return;
    m_areFormerLeasesSettled = true;
    for (const auto &[id, job] : m_jobs)
        awaitsReconciliation(*job, now.instant);
}

bool JobScheduler::awaitsReconciliation(OwnedJob &job, Core::Instant now)
{
    if (job.unreconciledWorkers.empty() && !job.hasLostUnseenRuns)
        return false;
    std::erase_if(job.unreconciledWorkers, [&](const Core::VmId &id) {
        const WorkerState *worker = findWorkerState(id);
        if (worker && (worker->isReconciled() || worker->isReplaced()))
            return true;
        if (now < formerLeaseEnd(id))
            return false;
        job.hasLostUnseenRuns = true;
        if (!worker)
            job.removeWorker(id);
        markDirty(job);
        return true;
    });
    if (!job.unreconciledWorkers.empty())
        return true;
    if (std::exchange(job.hasLostUnseenRuns, false)) {
        job.hasUnknownFormerRuns = true;
        abandonUnknownRuns(job);
    }
    return false;
}

bool JobScheduler::awaitsFormerRun(OwnedJob &job, const TaskState &task, Core::Instant now)
{
    return task.mayRunUnseen && awaitsReconciliation(job, now);
}

Core::Instant JobScheduler::formerRunsEndAt(const OwnedJob &job) const
{
    Core::Instant end;
    for (const Core::VmId &id : job.unreconciledWorkers)
        end = std::max(end, formerLeaseEnd(id));
    return end;
}

void JobScheduler::forgetWorker(const WorkerState &worker)
{
    const Core::VmId &id = worker.info().id;
    if (m_suspensions.isWanted(id))
        m_formerLeaseEnds[id] = lastLeaseEnd(id);
    for (const auto &[jobId, job] : m_jobs) {
        if (worker.isReconciled())
            job->unreconciledWorkers.erase(id);
        if (job->unreconciledWorkers.contains(id))
            continue;
        job->removeWorker(id);
        markDirty(*job);
    }
}

void JobScheduler::abandonUnknownRuns(OwnedJob &job)
{
    for (const auto &[occurrence, steps] : job.occurrences())
        abandonUnknownRuns(job, occurrence);
}

void JobScheduler::abandonUnknownRuns(OwnedJob &job, int occurrence)
{
    // The runs that this owner starts have higher numbers; see nextRunNumber().
    const std::int64_t lastFormerRun = m_ownership.term * runsPerTerm;
    std::vector<OwnedStep> &steps = job.occurrences().at(occurrence);
    for (std::size_t step = 0; step < steps.size(); ++step) {
        for (std::size_t index = 0; index < steps[step].tasks.size(); ++index) {
            TaskState &task = steps[step].tasks[index];
            if (!std::exchange(task.mayRunUnseen, false))
                continue;
            const TaskName name { job.id(), occurrence, static_cast<int>(step),
                                  static_cast<int>(index) };
            if (steps[step].isReady && !task.run && !job.isTaskDone(name))
                abandon(job, name, lastFormerRun);
        }
    }
}

} // namespace Jobs
