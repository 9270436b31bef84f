#include "LoadedSite.h"

#include <algorithm>
#include <variant>

using namespace Jobs;
using std::chrono::milliseconds;

static constexpr std::int64_t workerMilliCores = 32'000;
static constexpr std::int64_t workerMebibytes = 128'000;
static constexpr int shortJobsEvery = 4;

/// Returns an identifier of 16 digits, as long as that of a real job.
static JobId jobId(int number)
{
    const std::string digits = std::to_string(number);
    return JobId(std::string(16 - digits.size(), '0') + digits);
}

LoadedSite::LoadedSite(const SiteLoad &load)
    : m_load(load)
    , m_scheduler(SchedulerSettings(), { 1, 0, Core::Instant() }, m_log)
{
    std::vector<WorkerInfo> list;
    for (int i = 0; i < load.workers; ++i) {
        WorkerInfo info;
        info.id = Core::VmId("worker-" + std::to_string(i));
        info.address = info.id.text();
        info.service = ServiceId("service");
        info.capacity = { workerMilliCores, workerMebibytes, 0 };
        info.processStartUnixMs = 1;
        m_workers.push_back(info.id);
        list.push_back(info);
    }
    setCustomers();
    m_scheduler.setWorkers(list, m_now);
    settle();
    constexpr int tasksPerServingJob = 6;
    for (int i = 0; i < load.workers * load.servingTasks / 6 / tasksPerServingJob; ++i) {
        StepSpec serving;
        serving.taskCount = tasksPerServingJob;
        serving.need = { 7000, 13'000, 0 };
        serving.isLongRunning = true;
        serving.tailTargetMs = 18;
        serving.image = "serving-" + std::to_string(i % load.servingImages);
        submit(i, serving, 0);
    }
    settle();
    for (int i = 0; i < load.waitingSteps; ++i)
        submitWaiting();
    settle();
}

void LoadedSite::setCustomers()
{
    Catalogue catalogue;
    if (m_load.customers > 0)
        catalogue.customers.emplace();
    for (int i = 0; i < m_load.customers; ++i) {
        Customer customer;
        customer.id = Core::CustomerId("customer-" + std::to_string(i));
        catalogue.customers->push_back(customer);
    }
    m_scheduler.setCatalogue(catalogue);
}

void LoadedSite::submitWaiting()
{
    const int i = m_submitted++;
    StepSpec step;
    step.taskCount = m_load.minTasks + i % (m_load.maxTasks - m_load.minTasks + 1);
    step.isBestEffort = i % shortJobsEvery != 0;
    step.need = { 1500 + 37 * (i % 60), 4000 + 71 * (i % 40), 0 };
    step.estimateMs = 800 + 10 * (i % 100);
    step.image = step.isBestEffort ? "filler-" + std::to_string(i % m_load.bestEffortImages) : "";
    submit(1'000'000 + i, step, step.isBestEffort ? 2 : 0);
}

Submission LoadedSite::submission(int number, const StepSpec &step, int priority) const
{
    Submission submission;
    submission.id = jobId(number);
    if (m_load.customers > 0)
        submission.customer
            = Core::CustomerId("customer-" + std::to_string(number % m_load.customers));
    submission.queue.id = QueueId("queue-" + std::to_string(priority));
    submission.queue.service = ServiceId("service");
    submission.queue.priority = priority;
    submission.queue.attemptLimit = 3;
    submission.queue.stretch = 1000;
    submission.spec.steps = { step };
    submission.submittedUnixMs = m_now.unixMs;
    return submission;
}

void LoadedSite::submit(int number, const StepSpec &step, int priority)
{
    submit(submission(number, step, priority));
}

void LoadedSite::submit(const Submission &submission)
{
    m_table.apply(submission);
    m_scheduler.addJob(*m_table.find(submission.id), m_now);
}

void LoadedSite::submitSchedule(std::int64_t times, std::int64_t milliCores)
{
    constexpr int number = 2'000'000;
    StepSpec step;
    step.need = { milliCores, 100, 0 };
    step.estimateMs = 800;
    Submission schedule = submission(number, step, 2);
    schedule.spec.repeatCount = times;
    submit(schedule);
}

int LoadedSite::passesUntilStart()
{
    constexpr int number = 3'000'000;
    constexpr int maxPasses = 100;
    StepSpec step;
    step.need = { 100, 100, 0 };
    step.estimateMs = 800;
    const Submission ordinary = submission(number, step, 0);
    submit(ordinary);
    const auto isStarted = [&ordinary](const auto &running) {
        return running.second.contains({ ordinary.id, 0, 0, 0 });
    };
    for (int passes = 1; passes <= maxPasses; ++passes) {
        pass();
        if (std::any_of(m_running.begin(), m_running.end(), isStarted))
            return passes;
    }
    return -1;
}

void LoadedSite::settle()
{
    constexpr int rounds = 40;
    for (int i = 0; i < rounds; ++i) {
        for (std::size_t worker = 0; worker < m_workers.size(); ++worker)
            report();
        pass();
    }
}

void LoadedSite::advance(Core::Duration duration)
{
    m_now.instant += duration;
    m_now.unixMs
        = std::chrono::duration_cast<milliseconds>(m_now.instant.time_since_epoch()).count();
}

void LoadedSite::commit()
{
    if (!m_scheduler.needsCommit())
        return;
    const Commit commit = m_scheduler.takeCommit();
    for (const JobRecord &record : commit.records) {
        if (std::holds_alternative<ProgressRecord>(record))
            m_largestProgressBytes
                = std::max(m_largestProgressBytes, encodeRecord(record).front().value.size());
    }
    m_scheduler.onCommitted(commit.number, m_now.instant, m_now);
}

void LoadedSite::answer(const Command &command)
{
    if (const auto *start = std::get_if<StartCommand>(&command)) {
        ++m_startedTasks;
        m_running[start->worker][start->task] = start->run;
        m_scheduler.onStartOutcome(*start, StartOutcome::Started, m_now);
    }
    if (const auto *stop = std::get_if<StopCommand>(&command)) {
        if (m_running[stop->worker].erase(stop->task) > 0)
            m_ended[stop->worker].push_back(
                { ++m_ends[stop->worker], stop->task, stop->run, EndKind::Stopped, "" });
    }
}

std::size_t LoadedSite::pass()
{
    advance(milliseconds(250));
    commit();
    const std::vector<Command> commands = m_scheduler.takeCommands(m_now);
    for (const Command &command : commands)
        answer(command);
    return commands.size();
}

void LoadedSite::turn(Core::Duration duration)
{
    advance(duration);
    m_scheduler.takeRenewals(m_now);
    for (Command &command : m_scheduler.takeCommands(m_now))
        m_unanswered.push_back(std::move(command));
    m_scheduler.nextWakeup(m_now);
}

void LoadedSite::second(int endsPerSecond)
{
    constexpr Core::Duration commitInterval = milliseconds(20);
    const Core::Duration spacing = Core::Duration(std::chrono::seconds(1)) / (2 * endsPerSecond);
    const Core::Instant end = m_now.instant + std::chrono::seconds(1);
    Core::Instant nextCommitAt = m_now.instant;
    while (m_now.instant < end) {
        if (m_now.instant >= nextCommitAt) {
            commit();
            nextCommitAt = m_now.instant + commitInterval;
        }
        endOneTask();
        answerRenewal();
        turn(spacing);
        if (!m_unanswered.empty()) {
            answer(m_unanswered.front());
            m_unanswered.pop_front();
        }
        turn(spacing);
        const auto meanTasks = static_cast<std::size_t>(m_load.minTasks + m_load.maxTasks) / 2;
        for (; m_startedTasks >= meanTasks; m_startedTasks -= meanTasks)
            submitWaiting();
    }
}

WorkerReport LoadedSite::reportOf(const Core::VmId &worker) const
{
    constexpr std::int64_t goodTailMs = 9;
    constexpr std::int64_t usedMilliCores = 2000;
    WorkerReport report;
    report.clockMs = m_now.unixMs;
    report.processStartUnixMs = 1;
    if (const auto running = m_running.find(worker); running != m_running.end()) {
        for (const auto &[task, run] : running->second) {
            const bool isServing = m_table.find(task.job)->submission.spec.isLongRunning();
            report.running.push_back(
                { task, run, "", isServing ? 100 : 50, isServing ? goodTailMs : usedMilliCores });
        }
    }
    if (const auto ended = m_ended.find(worker); ended != m_ended.end())
        report.ended = ended->second;
    return report;
}

void LoadedSite::report()
{
    m_scheduler.takeRenewals(m_now);
    answerRenewal();
}

void LoadedSite::answerRenewal()
{
    const Core::VmId worker = m_workers[m_next++ % m_workers.size()];
    m_lastReport = reportOf(worker);
    m_ended[worker].clear();
    m_scheduler.onReport(worker, m_lastReport, m_now.instant, m_now);
}

void LoadedSite::endTask()
{
    endOneTask();
    report();
}

void LoadedSite::endOneTask()
{
    const Core::VmId worker = m_workers[m_next % m_workers.size()];
    auto &running = m_running[worker];
    for (auto it = running.begin(); it != running.end(); ++it) {
        if (m_table.find(it->first.job)->submission.spec.isLongRunning())
            continue;
        m_ended[worker].push_back({ ++m_ends[worker], it->first, it->second, EndKind::Done, "" });
        running.erase(it);
        break;
    }
}
