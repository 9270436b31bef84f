#include <LibJob/JobScheduler.h>
#include <LibJob/JobTable.h>

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace Jobs;
using std::chrono::milliseconds;

namespace {

constexpr int tasks = 40;
/// What 150 nodes may read for each task, of 80 MB/s in all at 2,300 tasks a second.
constexpr std::size_t maxBytesPerTask = 80'000'000 / 150 / 2300;

class NullLog final : public DecisionLog
{
public:
    void note(std::string_view, std::string_view, std::string_view) override { }
};

/// One job whose tasks run on a worker each and end one after another.
class WideJob
{
public:
    WideJob()
        : m_scheduler(SchedulerSettings(), { 1, 0, Core::Instant() }, m_log)
    {
        std::vector<WorkerInfo> workers;
        for (int i = 0; i < tasks; ++i) {
            WorkerInfo info;
            info.id = Core::VmId("i-00000000" + std::to_string(10 + i));
            info.address = info.id.text();
            info.service = ServiceId("service");
            info.capacity = { 4000, 4000, 0 };
            info.processStartUnixMs = 1;
            workers.push_back(info);
        }
        m_scheduler.setCatalogue({});
        m_scheduler.setWorkers(workers, m_now);
        for (const WorkerInfo &worker : workers)
            report(worker.id, {});
        commit();
        submit();
    }

    /// Starts all tasks, ends them 50 ms apart, and commits after each end. Returns the bytes
    /// written.
    std::size_t run()
    {
        m_bytes = 0;
        startAll();
        for (const auto &[task, start] : std::map(m_starts)) {
            report(start.worker, { { 1, task, start.run, EndKind::Done, "" } });
            commit();
        }
        return m_bytes;
    }

    /// The bytes of the newest records of all keys, which a node that starts reads.
    std::size_t snapshotBytes() const
    {
        std::size_t bytes = 0;
        for (const auto &[key, value] : m_newest)
            bytes += key.size() + value.size();
        return bytes;
    }

    JobState state() const { return m_table.find(JobId("5c0e7a21d94b36f8"))->state(); }

private:
    void submit()
    {
        Submission submission;
        submission.id = JobId("5c0e7a21d94b36f8");
        submission.queue.id = QueueId("queue");
        submission.queue.service = ServiceId("service");
        submission.queue.attemptLimit = 3;
        submission.queue.stretch = 2;
        StepSpec step;
        step.taskCount = tasks;
        step.need = { 3500, 3000, 0 };
        step.estimateMs = 2200;
        submission.spec.steps = { step };
        submission.submittedUnixMs = m_now.unixMs;
        write(submission);
        m_scheduler.addJob(*m_table.find(submission.id), m_now);
    }

    void startAll()
    {
        constexpr int maxTurns = 10;
        for (int turn = 0; turn < maxTurns && m_starts.size() < tasks; ++turn) {
            takeStarts();
            commit();
        }
        takeStarts();
        REQUIRE(m_starts.size() == tasks);
    }

    void takeStarts()
    {
        advance();
        for (const Command &command : m_scheduler.takeCommands(m_now)) {
            const auto *start = std::get_if<StartCommand>(&command);
            if (!start)
                continue;
            m_starts.emplace(start->task, *start);
            m_scheduler.onStartOutcome(*start, StartOutcome::Started, m_now);
        }
    }

    void commit()
    {
        advance();
        const Commit commit = m_scheduler.takeCommit();
        for (const JobRecord &record : commit.records)
            write(record);
        m_scheduler.onCommitted(commit.number, m_now.instant, m_now);
    }

    void write(const JobRecord &record)
    {
        for (const StoredRecord &stored : encodeRecord(record)) {
            m_bytes += stored.key.size() + stored.value.size();
            m_table.apply(decodeRecord(stored));
            if (stored.value.empty())
                m_newest.erase(stored.key);
            else
                m_newest[stored.key] = stored.value;
        }
    }

    void report(const Core::VmId &worker, const std::vector<EndedEntry> &ended)
    {
        m_scheduler.takeRenewals(m_now);
        WorkerReport report;
        report.clockMs = m_now.unixMs;
        report.processStartUnixMs = 1;
        report.ended = ended;
        m_scheduler.onReport(worker, report, m_now.instant, m_now);
    }

    void advance()
    {
        m_now.instant += milliseconds(25);
        m_now.unixMs += 25;
    }

    NullLog m_log;
    TimePoint m_now { Core::Instant(std::chrono::seconds(10)), 10'000 };
    JobScheduler m_scheduler;
    JobTable m_table;
    std::map<TaskName, StartCommand> m_starts;
    std::size_t m_bytes = 0;
    std::map<std::string, std::string> m_newest;
};

} // namespace

TEST_CASE("The records of a wide job don't use up what all nodes together may read")
{
    WideJob job;
    const std::size_t bytes = job.run();
    CHECK(job.state() == JobState::Completed);
    CHECK(bytes / tasks <= maxBytesPerTask);
}

TEST_CASE("A node that starts reads of an ended job only its final state")
{
    constexpr std::size_t keyBytes = 18;
    constexpr std::size_t finalStateBytes = 32;
    WideJob job;
    job.run();
    REQUIRE(job.state() == JobState::Completed);
    CHECK(job.snapshotBytes() <= keyBytes + finalStateBytes);
}
