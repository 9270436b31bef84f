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
    m_customerLedger.setOtherUse(otherUse(now));
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

CustomerLedger::Amounts JobScheduler::otherUse(const TimePoint &now)
{
    CustomerLedger::Amounts amounts;
    for (const auto &[id, worker] : m_workers) {
        for (const auto &[customer, use] : worker->unwantedUse().byCustomer)
            addTo(amounts, customer, use);
    }
    for (const auto &[id, job] : m_jobs) {
        const Core::CustomerId &customer = job->submission().customer;
        if (!customer.isEmpty() && awaitsReconciliation(*job, now.instant))
            addTo(amounts, customer, unseenUse(*job));
    }
    if (m_areFormerLeasesSettled)
        m_remainingUse.clear();
    for (const auto &[customer, use] : m_remainingUse)
        addTo(amounts, customer, use);
    return amounts;
}

Core::Resources JobScheduler::unseenUse(const OwnedJob &job)
{
    Core::Resources use;
    for (const auto &[occurrence, steps] : job.occurrences())
        use = use + unseenUse(job, occurrence);
    return use;
}

Core::Resources JobScheduler::unseenUse(const OwnedJob &job, int occurrence)
{
    Core::Resources use;
    const auto found = job.occurrences().find(occurrence);
    const bool isAwaited = !job.unreconciledWorkers.empty() || job.hasLostUnseenRuns;
    if (!isAwaited || found == job.occurrences().end())
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

Core::Resources JobScheduler::remainingUse(const OwnedJob &job)
{
    Core::Resources use = unseenUse(job);
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

bool JobScheduler::isWithinLimit(OwnedJob &job, const TaskName &name) const
{
    // A run in doubt counts already, and its successor will take its place.
    const TaskState *task = job.findTask(name);
    return (task && task->run)
        || m_customerLedger.mayStart(job.submission().customer, job.spec(name.step).need);
}

bool JobScheduler::mayCustomerStart(const WaitingStep &waiting, int index, const TimePoint &now)
{
    const OwnedJob &job = *waiting.job;
    const Core::CustomerId &customer = job.submission().customer;
    if (customer.isEmpty())
        return true;
    const StepSpec &spec = job.spec(waiting.step);
    Core::Resources need = spec.need;
    for (int i = 1; spec.isGang && i < spec.taskCount; ++i)
        need = need + spec.need;
    const bool mayStart = spec.isGang ? m_customerLedger.mayStartTogether(customer, need)
                                      : m_customerLedger.mayStart(customer, need);
    if (!mayStart && isWaitLoggedNow(waiting, now)) {
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
            now.instant - waiting.rank.dueAt);
        note({ job.id(), waiting.occurrence, waiting.step, index }, "wait",
             std::string("reason=") + waitReasonText(WaitReason::CustomerLimit)
                 + " due_ms_ago=" + std::to_string(waited.count()) + " milli_cores="
                 + std::to_string(need.milliCores) + " mebibytes=" + std::to_string(need.mebibytes)
                 + (spec.isGang ? " gang=1 " : " ") + explainLimit(job));
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
