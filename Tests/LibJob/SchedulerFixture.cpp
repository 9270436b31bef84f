#include "SchedulerFixture.h"

#include <algorithm>

using namespace Jobs;
using std::chrono::milliseconds;

/// Large enough that no job is late in these tests.
static constexpr double unreachableStretch = 100;

const Core::VmId SchedulerFixture::first("w1");
const Core::VmId SchedulerFixture::second("w2");

static Ownership provenAt(Core::Instant instant, Ownership ownership)
{
    ownership.provenAt = instant;
    return ownership;
}

SchedulerFixture::SchedulerFixture(const Ownership &ownership)
    : m_scheduler(SchedulerSettings(), provenAt(m_now.instant, ownership), m_log)
    , m_newestToken(ownership.token)
{
    for (const Core::VmId &id : { first, second }) {
        WorkerInfo info;
        info.id = id;
        info.address = id.text();
        info.service = ServiceId("service");
        info.capacity = { capacityMilliCores, 8000, 0 };
        info.processStartUnixMs = 1;
        m_workers.push_back(info);
    }
    m_scheduler.setCatalogue({});
    m_scheduler.setWorkers(m_workers, m_now);
}

Submission SchedulerFixture::submission(const std::string &id, const StepSpec &step,
                                        int attemptLimit)
{
    Submission submission;
    submission.id = JobId(id);
    submission.queue.id = QueueId("queue");
    submission.queue.service = ServiceId("service");
    submission.queue.attemptLimit = attemptLimit;
    submission.queue.stretch = unreachableStretch;
    submission.spec.steps = { step };
    submission.submittedUnixMs = m_now.unixMs;
    submission.customer = m_customer;
    m_steps.insert_or_assign(submission.id, step);
    return submission;
}

void SchedulerFixture::submit(const StepSpec &step, const std::string &id)
{
    constexpr int attemptLimit = 3;
    m_table.apply(submission(id, step, attemptLimit));
    m_scheduler.addJob(*m_table.find(JobId(id)), m_now);
}

void SchedulerFixture::submitFor(const std::string &customer, const StepSpec &step,
                                 const std::string &id, int priority, std::int64_t aheadMs)
{
    constexpr int attemptLimit = 3;
    Submission ofCustomer = submission(id, step, attemptLimit);
    ofCustomer.customer = Core::CustomerId(customer);
    ofCustomer.queue.id = QueueId("queue-" + std::to_string(priority));
    ofCustomer.queue.priority = priority;
    ofCustomer.submittedUnixMs += aheadMs;
    m_table.apply(ofCustomer);
    m_scheduler.addJob(*m_table.find(JobId(id)), m_now);
}

void SchedulerFixture::setWeights(const std::map<std::string, double> &weights)
{
    Catalogue catalogue;
    catalogue.customers.emplace();
    for (const auto &[name, weight] : weights) {
        Customer customer;
        customer.id = Core::CustomerId(name);
        customer.weight = weight;
        catalogue.customers->push_back(customer);
    }
    m_scheduler.setCatalogue(catalogue);
}

void SchedulerFixture::readSubmissionAgain(const StepSpec &step, const std::string &id)
{
    constexpr int attemptLimit = 3;
    JobEntry entry;
    entry.submission = submission(id, step, attemptLimit);
    m_scheduler.addJob(entry, m_now);
}

void SchedulerFixture::takeOver(const StepSpec &step, int attemptLimit)
{
    m_table.apply(submission("job", step, attemptLimit));
    JobProgress progress;
    progress.state = JobState::Running;
    m_table.apply(ProgressRecord { JobId("job"), progress });
    m_table.apply(JobWorkers { JobId("job"), { first, second } });
    m_scheduler.addJob(*m_table.find(JobId("job")), m_now);
}

void SchedulerFixture::takeOver(const SchedulerFixture &former)
{
    m_now = former.m_now;
    m_table = former.m_table;
    m_processStarts = former.m_processStarts;
    for (const JobEntry *entry : m_table.jobsInOrderOfSubmission())
        m_scheduler.addJob(*entry, m_now);
}

void SchedulerFixture::report(const Core::VmId &worker, const std::vector<EndedEntry> &ended,
                              const std::vector<RunningEntry> &running)
{
    WorkerReport report;
    report.running = running;
    report.ended = ended;
    deliver(worker, report);
}

void SchedulerFixture::deliver(const Core::VmId &worker, WorkerReport report)
{
    collectRenewals();
    report.clockMs = m_now.unixMs;
    report.processStartUnixMs = m_processStarts.emplace(worker, 1).first->second;
    advance(1);
    m_scheduler.onReport(worker, report, m_now.instant - milliseconds(1), m_now);
    advance(1);
}

void SchedulerFixture::reportAcknowledged(const Core::VmId &worker, std::int64_t number)
{
    WorkerReport report;
    report.acknowledgedEnd = number;
    deliver(worker, report);
}

void SchedulerFixture::listRestarted(const Core::VmId &worker)
{
    for (WorkerInfo &info : m_workers) {
        if (info.id == worker)
            info.processStartUnixMs = m_processStarts.at(worker);
    }
    m_scheduler.setWorkers(m_workers, m_now);
}

void SchedulerFixture::restart(const Core::VmId &worker)
{
    m_processStarts[worker] = m_now.unixMs;
    m_workerRuns.erase(worker);
}

void SchedulerFixture::reportFromBefore(const Core::VmId &worker,
                                        const std::vector<EndedEntry> &ended)
{
    WorkerReport report;
    report.clockMs = m_now.unixMs;
    report.processStartUnixMs = 1;
    report.ended = ended;
    constexpr int lateByMs = 3000;
    m_scheduler.onReport(worker, report, m_now.instant - milliseconds(lateByMs), m_now);
}

void SchedulerFixture::answerAsOtherIncarnation(const Core::VmId &worker,
                                                const std::string &address)
{
    collectRenewals();
    m_workerRuns.erase(worker);
    advance(1);
    m_scheduler.onOtherIncarnation(worker, address, m_now);
    failRenewal(worker);
}

void SchedulerFixture::reportAll(std::int64_t tailMs)
{
    constexpr std::int64_t usedMilliCores = 500;
    for (auto &[worker, workerRuns] : m_workerRuns) {
        std::vector<RunningEntry> running;
        for (const auto &[task, run] : workerRuns.runs) {
            const StepSpec &step = m_steps.at(task.job);
            const bool isServing = step.tailTargetMs > 0;
            running.push_back(
                { task, run, "", isServing ? 100 : 50, isServing ? tailMs : usedMilliCores });
        }
        report(worker, workerRuns.ended, running);
    }
}

void SchedulerFixture::endTask(const TaskName &task, EndKind kind)
{
    for (auto &[worker, workerRuns] : m_workerRuns) {
        const auto run = workerRuns.runs.extract(task);
        if (run.empty())
            continue;
        const auto number = static_cast<std::int64_t>(workerRuns.ended.size()) + 1;
        workerRuns.ended.push_back({ number, task, run.mapped(), kind, "" });
    }
}

void SchedulerFixture::cancel(const std::string &id)
{
    m_scheduler.cancelJob(JobId(id), m_now);
}

void SchedulerFixture::setCustomers(const std::vector<Customer> &customers)
{
    Catalogue catalogue;
    catalogue.customers = customers;
    m_scheduler.setCatalogue(catalogue);
}

std::string SchedulerFixture::lastNote(const std::string &job, const std::string &event) const
{
    std::string found;
    for (const auto &[key, inputs] : m_log.lines) {
        if (key.first.rfind(job + ".", 0) == 0 && key.second == event)
            found = inputs;
    }
    return found;
}

void SchedulerFixture::cancel()
{
    m_scheduler.cancelJob(JobId("job"), m_now);
}

void SchedulerFixture::listSuccessor(const Core::VmId &worker)
{
    const auto former = std::find_if(m_workers.begin(), m_workers.end(),
                                     [&](const WorkerInfo &info) { return info.id == worker; });
    WorkerInfo successor = *former;
    successor.id = Core::VmId("successor");
    successor.processStartUnixMs = m_now.unixMs;
    m_workers.push_back(successor);
    m_scheduler.setWorkers(m_workers, m_now);
}

void SchedulerFixture::listAt(const Core::VmId &worker, const std::string &address,
                              std::int64_t processStartUnixMs)
{
    for (WorkerInfo &info : m_workers) {
        if (info.id != worker)
            continue;
        info.address = address;
        info.processStartUnixMs = processStartUnixMs;
    }
    m_scheduler.setWorkers(m_workers, m_now);
}

void SchedulerFixture::setCapacity(const Core::VmId &worker, std::int64_t milliCores)
{
    for (WorkerInfo &info : m_workers) {
        if (info.id == worker)
            info.capacity.milliCores = milliCores;
    }
    m_scheduler.setWorkers(m_workers, m_now);
}

void SchedulerFixture::setStoreReachable(bool isReachable)
{
    m_isStoreReachable = isReachable;
    m_scheduler.setStoreReachable(isReachable);
}

std::vector<StartCommand> SchedulerFixture::runForTwoSeconds()
{
    constexpr int stepsPerHeartbeat = 50;
    std::vector<StartCommand> starts;
    for (int i = 0; i < 200; ++i) {
        advance(10);
        const bool isHeartbeatDue = i % stepsPerHeartbeat == 0;
        if (m_isStoreReachable && (isHeartbeatDue || m_scheduler.needsCommit()))
            commit();
        for (const Command &command : m_scheduler.takeCommands(m_now)) {
            if (const auto *throttle = std::get_if<ThrottleCommand>(&command))
                m_throttles.push_back(*throttle);
            if (const auto *stop = std::get_if<StopCommand>(&command))
                m_stops.push_back(*stop);
            const auto *start = std::get_if<StartCommand>(&command);
            if (!start)
                continue;
            starts.push_back(*start);
            if (m_startOutcome == StartOutcome::Started)
                m_workerRuns[start->worker].runs[start->task] = start->run;
            m_scheduler.onStartOutcome(*start, m_startOutcome, m_now);
        }
    }
    return starts;
}

std::int64_t SchedulerFixture::acknowledgedEnd(const Core::VmId &worker)
{
    collectRenewals();
    return m_renewals[worker].acknowledgedEnd;
}

FencingToken SchedulerFixture::tokenOf(const Core::VmId &worker)
{
    collectRenewals();
    return m_renewals[worker].token;
}

void SchedulerFixture::partition(const Core::VmId &worker)
{
    constexpr int maxLeaseMs = 8000;
    constexpr int spacingMs = 500;
    for (int passed = 0; passed < maxLeaseMs; passed += spacingMs) {
        if (isRenewalDue(worker))
            failRenewal(worker);
        advance(spacingMs);
        commit();
        m_scheduler.takeCommands(m_now);
    }
}

void SchedulerFixture::failRenewal(const Core::VmId &worker)
{
    m_scheduler.onRenewalFailed(worker, RenewalFailure::TimedOut, m_now);
}

bool SchedulerFixture::isRenewalDue(const Core::VmId &worker)
{
    m_renewals.erase(worker);
    collectRenewals();
    return m_renewals.contains(worker);
}

StepSpec SchedulerFixture::step(int taskCount, std::int64_t milliCores)
{
    StepSpec step;
    step.taskCount = taskCount;
    step.need = { milliCores, 100, 0 };
    step.estimateMs = 800;
    return step;
}

TaskName SchedulerFixture::task(int index)
{
    return { JobId("job"), 0, 0, index };
}

EndedEntry SchedulerFixture::end(std::int64_t number, int index, std::int64_t run, EndKind kind)
{
    return { number, task(index), run, kind, "" };
}

CrashHistory SchedulerFixture::recordedCrashes() const
{
    const auto &histories
        = m_table.find(JobId("job"))->progress->occurrences.at(0).front().crashHistories;
    const auto history = histories.find(0);
    return history == histories.end() ? CrashHistory() : history->second;
}

void SchedulerFixture::plan()
{
    advance(10);
    m_scheduler.takeCommands(m_now);
}

void SchedulerFixture::advance(std::int64_t forMs)
{
    m_now.instant += milliseconds(forMs);
    m_now.unixMs += forMs;
}

void SchedulerFixture::commit()
{
    const Commit commit = m_scheduler.takeCommit();
    for (const JobRecord &record : commit.records)
        m_table.apply(record);
    m_recordsWritten += static_cast<int>(commit.records.size());
    for (const JobRecord &record : commit.records)
        m_workerRecordsWritten += std::holds_alternative<JobWorkers>(record) ? 1 : 0;
    m_scheduler.offerToken(++m_newestToken);
    m_scheduler.onCommitted(commit.number, m_now.instant, m_now);
}

void SchedulerFixture::collectRenewals()
{
    for (const RenewCommand &command : m_scheduler.takeRenewals(m_now))
        m_renewals[command.worker] = command;
}
