#include <LibJob/JobScheduler.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <utility>
#include <variant>

using namespace Jobs;
using std::chrono::milliseconds;

namespace {

/// A scheduler of empty workers, all of which have answered.
class EmptySite
{
public:
    explicit EmptySite(int workerCount)
    {
        std::vector<WorkerInfo> workers;
        for (int i = 0; i < workerCount; ++i) {
            WorkerInfo info;
            info.id = Core::VmId("worker-" + std::to_string(i));
            info.service = ServiceId("service");
            info.capacity = { 32'000, 128'000, 0 };
            workers.push_back(info);
        }
        m_scheduler.setCatalogue({});
        m_scheduler.setWorkers(workers, m_now);
        WorkerReport report;
        report.clockMs = m_now.unixMs;
        report.processStartUnixMs = 1;
        m_scheduler.takeRenewals(m_now);
        for (const WorkerInfo &worker : workers)
            m_scheduler.onReport(worker.id, report, m_now.instant, m_now);
        advance();
        commit();
    }

    void submit(int number, int priority, int steps = 1)
    {
        JobEntry entry;
        entry.submission.id = JobId("job-" + std::to_string(number));
        entry.submission.queue.id = QueueId("queue");
        entry.submission.queue.service = ServiceId("service");
        entry.submission.queue.priority = priority;
        entry.submission.queue.stretch = 1000;
        StepSpec step;
        step.taskCount = tasksPerJob;
        step.need = { 1000, 1000, 0 };
        step.estimateMs = 1000;
        for (int i = 0; i < steps; ++i) {
            step.after = i == 0 ? std::vector<int>() : std::vector<int> { i - 1 };
            entry.submission.spec.steps.push_back(step);
        }
        entry.submission.submittedUnixMs = m_now.unixMs;
        m_scheduler.addJob(entry, m_now);
    }

    void advance()
    {
        m_now.instant += milliseconds(10);
        m_now.unixMs += 10;
    }

    /// Makes one call and returns the work of its planning. The tasks that it planned become
    /// durable and start; the starts that it sent are answered.
    std::int64_t plan()
    {
        const std::vector<Command> commands = m_scheduler.takeCommands(m_now);
        const std::int64_t work = m_scheduler.planningWork();
        commit();
        // The process is on time, so that the start window grows and bounds no call.
        m_scheduler.setLag({});
        for (const Command &command : commands) {
            const auto *start = std::get_if<StartCommand>(&command);
            if (!start)
                continue;
            m_started.push_back(*start);
            m_scheduler.onStartOutcome(*start, StartOutcome::Started, m_now);
        }
        return work;
    }

    /// Reports that all tasks that have been started so far are done.
    void endAllTasks()
    {
        std::map<Core::VmId, WorkerReport> reports;
        for (const StartCommand &start : std::exchange(m_started, {})) {
            WorkerReport &report = reports[start.worker];
            const auto number = static_cast<std::int64_t>(report.ended.size()) + 1;
            report.ended.push_back({ number, start.task, start.run, EndKind::Done, "" });
        }
        advance();
        for (auto &[worker, report] : reports) {
            report.clockMs = m_now.unixMs;
            report.processStartUnixMs = 1;
            m_scheduler.onReport(worker, report, m_now.instant, m_now);
        }
    }

    JobScheduler &scheduler() { return m_scheduler; }
    const TimePoint &now() const { return m_now; }
    /// The job of each start, in order.
    const std::vector<std::string> &starts() const { return m_log.starts; }

    static constexpr int tasksPerJob = 13;

    void commit()
    {
        const Commit commit = m_scheduler.takeCommit();
        m_scheduler.onCommitted(commit.number, m_now.instant, m_now);
    }

private:
    class StartLog final : public DecisionLog
    {
    public:
        void note(std::string_view task, std::string_view event, std::string_view) override
        {
            if (event == "start")
                starts.emplace_back(task.substr(0, task.find('.')));
        }
        std::vector<std::string> starts;
    };

    StartLog m_log;
    std::vector<StartCommand> m_started;
    TimePoint m_now { Core::Instant(std::chrono::seconds(100)), 100'000 };
    JobScheduler m_scheduler { SchedulerSettings(), { 1, 0, Core::Instant() }, m_log };
};

} // namespace

TEST_CASE("Renewals and heartbeats don't wait for a long pass over the waiting steps")
{
    constexpr int workers = 1100;
    constexpr std::size_t steps = 2000;
    EmptySite site(workers);
    for (std::size_t i = 0; i < steps; ++i)
        site.submit(static_cast<int>(i), 0);
    do {
        // The search for the last task of a call may look at each worker.
        REQUIRE(site.plan() <= JobScheduler::maxPlanningWork + 2 * workers);
    } while (site.scheduler().pendingStartCount() > 0
             || site.scheduler().nextWakeup(site.now()) <= site.now().instant);
    CHECK(site.starts().size() == steps * EmptySite::tasksPerJob);
    CHECK(std::is_sorted(site.starts().begin(), site.starts().end()));
}

TEST_CASE("An urgent job doesn't wait for the rest of a long pass")
{
    EmptySite site(1100);
    for (int i = 0; i < 2000; ++i)
        site.submit(i, 1);
    site.plan();
    // Sends the starts that the first call has planned, so that others may follow.
    site.plan();
    const auto firstStarts = static_cast<std::ptrdiff_t>(site.starts().size());
    REQUIRE(firstStarts > 0);
    site.submit(5000, 0);
    site.submit(6000, 2);
    site.plan();
    const auto startsOf = [&site, firstStarts](const std::string &job) {
        return std::count(site.starts().begin() + firstStarts, site.starts().end(), job);
    };
    CHECK(startsOf("job-5000") == EmptySite::tasksPerJob);
    CHECK(startsOf("job-6000") == 0);
}

TEST_CASE("An urgent step that has become ready doesn't wait for the rest of a long pass")
{
    EmptySite site(1100);
    site.submit(5000, 0, 2);
    site.plan();
    site.plan();
    REQUIRE(site.starts().size() == EmptySite::tasksPerJob);
    for (int i = 0; i < 2000; ++i)
        site.submit(i, 1);
    site.advance();
    site.advance();
    site.plan();
    REQUIRE(site.scheduler().nextWakeup(site.now()) <= site.now().instant);
    site.endAllTasks();
    site.plan();
    // Sends the starts of this call, which the commit has made durable.
    site.plan();
    CHECK(std::count(site.starts().begin(), site.starts().end(), "job-5000")
          == 2 * EmptySite::tasksPerJob);
}

TEST_CASE("No task of a job that was cancelled and deleted during a long pass is started")
{
    constexpr int jobs = 2000;
    EmptySite site(1100);
    for (int i = 0; i < jobs; ++i)
        site.submit(i, 0);
    site.plan();
    // Sends the starts that the first call has planned, so that others may follow.
    site.plan();
    const std::size_t starts = site.starts().size();
    REQUIRE(starts > 0);
    REQUIRE(starts < std::size_t { jobs } * EmptySite::tasksPerJob);
    for (int i = 0; i < jobs; ++i)
        site.scheduler().cancelJob(JobId("job-" + std::to_string(i)), site.now());
    site.commit();
    site.plan();
    CHECK(site.starts().size() == starts);
}
