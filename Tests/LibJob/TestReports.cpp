#include <LibJob/JobScheduler.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Jobs;
using std::chrono::milliseconds;

namespace {

class SilentLog final : public DecisionLog
{
public:
    void note(std::string_view, std::string_view, std::string_view) override { }
};

const Core::VmId firstWorker("w1");
const Core::VmId secondWorker("w2");

/// The second owner of a site with two workers, which takes over a job that its predecessor had
/// planned on both.
class Successor
{
public:
    Successor(const StepSpec &step, int mostAttempts)
    {
        m_entry.submission.id = JobId("job");
        m_entry.submission.queue.id = QueueId("queue");
        m_entry.submission.queue.service = ServiceId("service");
        m_entry.submission.queue.mostAttempts = mostAttempts;
        m_entry.submission.spec.steps = { step };
        m_entry.progress.emplace();
        m_entry.progress->workers = { firstWorker, secondWorker };
        std::vector<WorkerInfo> workers;
        for (const Core::VmId &id : { firstWorker, secondWorker }) {
            WorkerInfo info;
            info.id = id;
            info.address = id.text();
            info.service = ServiceId("service");
            info.capacity = { 4000, 8000, 0 };
            info.bornUnixMs = 1;
            workers.push_back(info);
        }
        m_scheduler.setCatalogue({});
        m_scheduler.setWorkers(workers, m_now);
        m_scheduler.addJob(m_entry, m_now);
    }

    /// A worker answers a renewal.
    void report(const Core::VmId &worker, const std::vector<EndedEntry> &ended,
                const std::vector<RunningEntry> &running = {})
    {
        for (const RenewCommand &command : m_scheduler.takeRenewals(m_now))
            m_renewals[command.worker] = command;
        WorkerReport report;
        report.clockMs = m_now.unixMs;
        report.bornUnixMs = 1;
        report.running = running;
        report.ended = ended;
        pass(1);
        m_scheduler.onReport(worker, report, m_now.instant - milliseconds(1), m_now);
        pass(1);
    }
    /// Lets two seconds pass, makes everything durable, and returns the tasks that were started.
    std::vector<StartCommand> settle()
    {
        std::vector<StartCommand> starts;
        for (int i = 0; i < 200; ++i) {
            pass(10);
            commit();
            for (const Command &command : m_scheduler.takeCommands(m_now)) {
                if (const auto *start = std::get_if<StartCommand>(&command))
                    starts.push_back(*start);
            }
        }
        return starts;
    }
    JobState state() const { return m_entry.state(); }
    const JobProgress &progress() const { return *m_entry.progress; }
    std::int64_t acknowledgedEnd(const Core::VmId &worker)
    {
        for (const RenewCommand &command : m_scheduler.takeRenewals(m_now))
            m_renewals[command.worker] = command;
        return m_renewals[worker].acknowledgedEnd;
    }

private:
    void pass(std::int64_t forMs)
    {
        m_now.instant += milliseconds(forMs);
        m_now.unixMs += forMs;
    }
    void commit()
    {
        if (!m_scheduler.needsCommit())
            return;
        const Commit commit = m_scheduler.takeCommit();
        for (const JobRecord &record : commit.records) {
            if (const auto *written = std::get_if<ProgressRecord>(&record))
                m_entry.progress = written->progress;
        }
        m_scheduler.onCommitted(commit.number, m_now.instant, m_now);
    }

    SilentLog m_log;
    Moment m_now { Core::Instant(milliseconds(10'000)), 10'000 };
    JobScheduler m_scheduler { SchedulerSettings(),
                               Ownership { 2, 1, Core::Instant(milliseconds(60'000)) }, m_log };
    JobEntry m_entry;
    std::map<Core::VmId, RenewCommand> m_renewals;
};

StepSpec stepOf(int taskCount)
{
    StepSpec step;
    step.taskCount = taskCount;
    step.need = { 500, 100, 0 };
    step.estimateMs = 800;
    return step;
}

TaskName task(int index)
{
    return { JobId("job"), 0, 0, index };
}

EndedEntry endOf(int index, std::int64_t run, EndKind kind)
{
    return { 1, task(index), run, kind, "" };
}

} // namespace

TEST_CASE("An owner counts the failed runs that its predecessor couldn't record")
{
    const EndedEntry first = endOf(0, 1, EndKind::Failed);
    const EndedEntry second = endOf(0, 2, EndKind::Failed);

    SECTION("when two attempts are all that a task has")
    {
        Successor owner(stepOf(1), 2);
        SECTION("the first is reported first")
        {
            owner.report(firstWorker, { first });
            owner.report(secondWorker, { second });
        }
        SECTION("the second is reported first")
        {
            owner.report(secondWorker, { second });
            owner.report(firstWorker, { first });
        }
        CHECK(owner.settle().empty());
        CHECK(owner.state() == JobState::Failed);
    }
    SECTION("when one attempt is left")
    {
        Successor owner(stepOf(1), 3);
        SECTION("each counts once, however often it is reported")
        {
            owner.report(secondWorker, { second });
            owner.report(firstWorker, { first });
            owner.report(secondWorker, { second });
            const std::vector<StartCommand> starts = owner.settle();
            REQUIRE(starts.size() == 1);
            CHECK(starts.front().run == 1001);
        }
        SECTION("the last attempt may be under way already")
        {
            owner.report(secondWorker, { second }, { { task(0), 3, "", 10, 500 } });
            owner.report(firstWorker, { first });
            CHECK(owner.settle().empty());
            owner.report(secondWorker, { { 2, task(0), 3, EndKind::Failed, "" } });
            CHECK(owner.settle().empty());
            CHECK(owner.state() == JobState::Failed);
        }
    }
}

TEST_CASE("A gang fails as one")
{
    StepSpec step = stepOf(2);
    step.isGang = true;
    Successor owner(step, 2);

    SECTION("one failed member is enough in each run, whichever it is")
    {
        owner.report(firstWorker, { endOf(0, 1, EndKind::Failed) });
        owner.report(secondWorker,
                     { endOf(1, 1, EndKind::GangBroken), { 2, task(1), 2, EndKind::Failed, "" } });
        CHECK(owner.settle().empty());
        CHECK(owner.state() == JobState::Failed);
    }
    SECTION("two failed members of one run are one attempt")
    {
        owner.report(firstWorker, { endOf(0, 1, EndKind::Failed) });
        owner.report(secondWorker, { endOf(1, 1, EndKind::Failed) });
        CHECK(owner.settle().size() == 2);
        CHECK(owner.state() == JobState::Running);
    }
}

TEST_CASE("A worker that has more ends than fit into a report is read to the last one")
{
    // The former owner was long out of reach: the end that matters is the last.
    std::vector<EndedEntry> page;
    for (int number = 1; number <= static_cast<int>(WorkerReport::mostEnds); ++number)
        page.push_back({ number, { JobId("other"), 0, 0, number }, 1, EndKind::Done, "" });
    const auto last = static_cast<std::int64_t>(page.size()) + 1;

    Successor owner(stepOf(1), 2);
    owner.report(firstWorker, {});
    owner.report(secondWorker, page);
    CHECK(owner.settle().empty());
    CHECK(owner.acknowledgedEnd(secondWorker) == last - 1);
    owner.report(secondWorker, { { last, task(0), 1, EndKind::Done, "" } });
    CHECK(owner.settle().empty());
    CHECK(owner.state() == JobState::Completed);
}
