#include <LibJob/JobScheduler.h>

#include <algorithm>
#include <set>
#include <utility>

namespace Jobs {

/// Bounds the lines on steps that come after those of others and are skipped since no worker has
/// room: a busy customer may have thousands of them.
static constexpr Core::Duration orderLogInterval = std::chrono::milliseconds(1000);

static void addTo(CustomerLedger::Amounts &amounts, const Core::CustomerId &customer,
                  const Core::Resources &use)
{
    if (use != Core::Resources())
        amounts[customer] = amounts[customer] + use;
}

void JobScheduler::setCustomers(const Catalogue &catalogue)
{
    if (!catalogue.customers && !m_hasCustomers)
        return;
    m_hasCustomers = true;
    const std::vector<Customer> customers = catalogue.customers.value_or(std::vector<Customer>());
    m_customerLedger.setCustomers(customers);
    m_customerShares.setCustomers(customers);
    // A start that waits for a commit would be sent after the limit has been lowered.
    for (const auto &[id, job] : m_jobs) {
        if (m_customerLedger.isAboveLimit(job->submission().customer))
            discardPlannedRuns(*job);
    }
}

bool JobScheduler::isBeyondRate(const Submission &submission, const TimePoint &now)
{
    // A time ahead of this clock comes from a VM whose clock is wrong. It would fill the bucket,
    // and then nothing would until the clocks of the others reach it.
    const std::int64_t submittedUnixMs = std::min(submission.submittedUnixMs, now.unixMs);
    return m_hasCustomers && !m_customerShares.takeToken(submission.customer, submittedUnixMs);
}

void JobScheduler::noteExcess(OwnedJob &job, bool hasProgress, const TimePoint &now)
{
    job.isInExcess = isBeyondRate(job.submission(), now);
    // A former owner has counted the jobs that have progress.
    if (job.isInExcess && !hasProgress)
        m_log.noteJobInExcess(job.id(), job.submission().customer);
}

void JobScheduler::refreshCustomers(const TimePoint &now)
{
    if (!m_hasCustomers)
        return;
    m_isOtherUseOutdated = true;
    refreshOtherUse(now);
    std::set<Core::CustomerId> sharing;
    for (const auto &[customer, use] : m_customerLedger.usedByCustomer())
        sharing.insert(customer);
    for (const auto &[id, job] : m_jobs) {
        const Core::CustomerId &customer = job->submission().customer;
        if (!customer.isEmpty() && !job->isOver() && !job->waitingOccurrences().empty())
            sharing.insert(customer);
    }
    Core::Resources capacity;
    for (const WorkerState *worker : m_listed)
        capacity = capacity + worker->info().capacity;
    m_customerShares.beginPass(std::move(sharing), capacity);
}

void JobScheduler::refreshOtherUse(const TimePoint &now)
{
    if (m_hasCustomers && std::exchange(m_isOtherUseOutdated, false))
        m_customerLedger.setOtherUse(otherUse(now));
}

CustomerLedger::Amounts JobScheduler::otherUse(const TimePoint &now)
{
    CustomerLedger::Amounts amounts;
    for (const auto &[id, worker] : m_workers) {
        // A process that was replaced, or whose leases have ended, runs nothing any more.
        if (worker->isReplaced() || now.instant > worker->latestLeaseEnd())
            continue;
        for (const auto &[task, use] : worker->unwantedUse().ofCustomers)
            addTo(amounts, use.customer, use.need);
    }
    for (const auto &[id, job] : m_jobs) {
        const Core::CustomerId &customer = job->submission().customer;
        if (!customer.isEmpty() && awaitsReconciliation(*job, now.instant))
            addTo(amounts, customer, unseenUse(*job, now.unixMs));
    }
    if (m_areFormerLeasesSettled)
        m_remainingUse.clear();
    for (const auto &[customer, use] : m_remainingUse)
        addTo(amounts, customer, use);
    return amounts;
}

/// True while tasks of the job may run on workers that haven't answered this owner.
static bool hasUnansweredWorkers(const OwnedJob &job)
{
    return !job.unreconciledWorkers.empty() || job.hasLostUnseenRuns;
}

Core::Resources JobScheduler::unseenUse(const OwnedJob &job, std::int64_t unixMs)
{
    Core::Resources use = unseenUseAhead(job, unixMs);
    for (const auto &[occurrence, steps] : job.occurrences())
        use = use + unseenUseOfOccurrence(job, occurrence);
    return use;
}

Core::Resources JobScheduler::unseenUseAhead(const OwnedJob &job, std::int64_t unixMs)
{
    Core::Resources use;
    const JobSpec &spec = job.submission().spec;
    if (!hasUnansweredWorkers(job) || !spec.isScheduled())
        return use;
    Core::Resources ofOccurrence;
    for (const StepSpec &step : spec.steps) {
        for (int i = 0; i < step.taskCount; ++i)
            ofOccurrence = ofOccurrence + step.need;
    }
    std::size_t ahead = 0;
    const int first = job.progress().endedOccurrences.firstAbsentFrom(0);
    for (int i = first; i < spec.occurrenceCount() && spec.dueUnixMs(i) <= unixMs; ++i) {
        if (!job.isOccurrenceAhead(i))
            continue;
        use = use + ofOccurrence;
        if (++ahead == OwnedJob::maxBegunOccurrences)
            break;
    }
    return use;
}

Core::Resources JobScheduler::unseenUseOfOccurrence(const OwnedJob &job, int occurrence)
{
    Core::Resources use;
    const auto found = job.occurrences().find(occurrence);
    if (!hasUnansweredWorkers(job) || found == job.occurrences().end())
        return use;
    const std::vector<OwnedStep> &steps = found->second;
    for (std::size_t step = 0; step < steps.size(); ++step) {
        for (std::size_t index = 0; index < steps[step].tasks.size(); ++index) {
            const TaskState &task = steps[step].tasks[index];
            const TaskName name { job.id(), occurrence, static_cast<int>(step),
                                  static_cast<int>(index) };
            if (task.mayRunUnseen && !task.run && !job.isTaskDone(name))
                use = use + job.spec(name.step).need;
        }
    }
    return use;
}

Core::Resources JobScheduler::remainingUse(const OwnedJob &job) const
{
    Core::Resources use;
    if (job.submission().customer.isEmpty())
        return use;
    use = unseenUse(job, job.progress().endedUnixMs);
    for (const auto &[id, worker] : m_workers) {
        for (const auto &[task, unwanted] : worker->unwantedUse().ofCustomers)
            use = task.job == job.id() ? use + unwanted.need : use;
    }
    for (const auto &[occurrence, steps] : job.occurrences()) {
        for (std::size_t step = 0; step < steps.size(); ++step) {
            for (const TaskState &task : steps[step].tasks) {
                if (task.run)
                    use = use + job.spec(static_cast<int>(step)).need;
            }
        }
    }
    return use;
}

void JobScheduler::noteRemainingUse(const Core::CustomerId &customer, const Core::Resources &use)
{
    if (!customer.isEmpty() && !m_areFormerLeasesSettled)
        addTo(m_remainingUse, customer, use);
}

bool JobScheduler::isAboveShare(const OwnedJob &job) const
{
    const Core::CustomerId &customer = job.submission().customer;
    return !customer.isEmpty()
        && m_customerShares.isAboveShare(customer, m_customerLedger.used(customer));
}

bool JobScheduler::hasRisenAboveShare(const WaitingStep &waiting) const
{
    return m_hasCustomers && waiting.job && !waiting.isOverdue && !waiting.rank.isAboveShare
        && isAboveShare(*waiting.job);
}

void JobScheduler::logPlaceInOrder(const WaitingStep &waiting, const TimePoint &now)
{
    const std::string order = explainOrder(waiting);
    if (order.empty())
        return;
    Core::Instant &loggedAt = m_orderLoggedAt[waiting.job->submission().customer];
    if (now.instant < loggedAt + orderLogInterval || !isWaitLoggedNow(waiting, now))
        return;
    loggedAt = now.instant;
    const auto waited
        = std::chrono::duration_cast<std::chrono::milliseconds>(now.instant - waiting.rank.dueAt);
    note({ waiting.job->id(), waiting.occurrence, waiting.step, 0 }, "wait",
         order + "due_ms_ago=" + std::to_string(waited.count()));
}

bool JobScheduler::countsAlready(const OwnedJob &job, const TaskState &task)
{
    return task.run || (task.mayRunUnseen && hasUnansweredWorkers(job));
}

bool JobScheduler::isWithinLimit(OwnedJob &job, const TaskName &name) const
{
    // The successor of a run in doubt will take its place.
    const TaskState *task = job.findTask(name);
    return (task && countsAlready(job, *task)) || fitsInLimit(job, name.step);
}

Core::Resources JobScheduler::neededAtOnce(const OwnedJob &job, int step)
{
    const StepSpec &spec = job.spec(step);
    Core::Resources need = spec.need;
    for (int i = 1; spec.isGang && i < spec.taskCount; ++i)
        need = need + spec.need;
    return need;
}

bool JobScheduler::fitsInLimit(const OwnedJob &job, int step) const
{
    const Core::CustomerId &customer = job.submission().customer;
    if (customer.isEmpty())
        return true;
    const Core::Resources need = neededAtOnce(job, step);
    return job.spec(step).isGang ? m_customerLedger.mayStartTogether(customer, need)
                                 : m_customerLedger.mayStart(customer, need);
}

bool JobScheduler::fitsInLimitWith(const OwnedJob &job, int step,
                                   const Core::Resources &toBeUsed) const
{
    if (toBeUsed == Core::Resources())
        return fitsInLimit(job, step);
    return m_customerLedger.mayStartTogether(job.submission().customer,
                                             job.spec(step).need + toBeUsed);
}

bool JobScheduler::mayCustomerStart(const WaitingStep &waiting, int index, const TimePoint &now)
{
    const OwnedJob &job = *waiting.job;
    const Core::CustomerId &customer = job.submission().customer;
    if (customer.isEmpty())
        return true;
    const bool mayStart = fitsInLimit(job, waiting.step);
    if (!mayStart && isWaitLoggedNow(waiting, now)) {
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
            now.instant - waiting.rank.dueAt);
        const Core::Resources need = neededAtOnce(job, waiting.step);
        const bool isGang = job.spec(waiting.step).isGang;
        note({ job.id(), waiting.occurrence, waiting.step, index }, "wait",
             std::string("reason=") + waitReasonText(WaitReason::CustomerLimit)
                 + " due_ms_ago=" + std::to_string(waited.count())
                 + " milli_cores=" + std::to_string(need.milliCores)
                 + " mebibytes=" + std::to_string(need.mebibytes) + (isGang ? " gang=1" : "")
                 + (isGang && m_customerLedger.exceedsWholeLimit(customer, need)
                        ? " exceeds_whole_limit=1 "
                        : " ")
                 + explainLimit(job));
    }
    return mayStart;
}

std::string JobScheduler::explainLimit(const OwnedJob &job) const
{
    const Core::CustomerId &customer = job.submission().customer;
    const Core::Resources used = m_customerLedger.used(customer);
    const Core::Resources limit = m_customerLedger.limit(customer);
    return "customer=" + customer.text() + " used_milli_cores=" + std::to_string(used.milliCores)
        + " limit_milli_cores=" + std::to_string(limit.milliCores) + " used_mebibytes="
        + std::to_string(used.mebibytes) + " limit_mebibytes=" + std::to_string(limit.mebibytes)
        + " used_accelerators=" + std::to_string(used.accelerators)
        + " limit_accelerators=" + std::to_string(limit.accelerators);
}

std::string JobScheduler::explainOrder(const WaitingStep &waiting)
{
    // An overdue task keeps its place before all others.
    if (waiting.isOverdue || (!waiting.rank.isInExcess && !waiting.rank.isAboveShare))
        return {};
    return std::string("reason=") + (waiting.rank.isInExcess ? "customer-excess" : "customer-share")
        + " customer=" + waiting.job->submission().customer.text() + ' ';
}

} // namespace Jobs
