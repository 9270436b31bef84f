#include <LibJob/JobScheduler.h>

#include <catch2/catch.hpp>

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

    void submit(int number, int priority)
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
        entry.submission.spec.steps = { step };
        entry.submission.submittedUnixMs = m_now.unixMs;
        m_scheduler.addJob(entry, m_now);
    }

    void advance()
    {
        m_now.instant += milliseconds(10);
        m_now.unixMs += 10;
    }

    /// Makes one call and returns the work of its planning. The tasks that it planned become
    /// durable and start.
    std::int64_t plan()
    {
        m_scheduler.takeCommands(m_now);
        const std::int64_t work = m_scheduler.planningWork();
        commit();
        return work;
    }

    JobScheduler &scheduler() { return m_scheduler; }
    const TimePoint &now() const { return m_now; }
    /// The job of each start, in order.
    const std::vector<std::string> &starts() const { return m_log.starts; }

    static constexpr int tasksPerJob = 13;

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

    void commit()
    {
        const Commit commit = m_scheduler.takeCommit();
        m_scheduler.onCommitted(commit.number, m_now.instant, m_now);
    }

    StartLog m_log;
    TimePoint m_now { Core::Instant(std::chrono::seconds(100)), 100'000 };
    JobScheduler m_scheduler { SchedulerSettings(), { 1, 0, Core::Instant() }, m_log };
};

} // namespace

TEST_CASE("Renewals and heartbeats don't wait for a long pass over the waiting steps",
          "[!shouldfail][known-red]")
{
    constexpr int workers = 1100;
    constexpr std::size_t steps = 2000;
    EmptySite site(workers);
    for (std::size_t i = 0; i < steps; ++i)
        site.submit(static_cast<int>(i), 0);
    // The search for the last task of a call may look at each worker.
    CHECK(site.plan() <= JobScheduler::maxPlanningWork + 2 * workers);
}
