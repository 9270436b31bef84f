#include <utility>

#include "MemoryLog.h"

#include <LibCore/SteadyClock.h>
#include <LibSite/JobDesk.h>
#include <LibSite/JobFollower.h>
#include <LibSite/OperatorFollower.h>
#include <LibSite/OwnerPart.h>
#include <LibSite/RecordWriter.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <optional>

using namespace Site;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Reads a worker's entry as `DOMAIN`, and a catalogue as its version.
class PlainDecoder final : public SiteDecoder
{
public:
    OperatorChange decodeOperatorRecord(const Jobs::StoredRecord &record) const override
    {
        CatalogueChange change;
        change.catalogue.version = std::stoll(record.value);
        return change;
    }
    Jobs::WorkerInfo decodeWorkerRecord(const Jobs::StoredRecord &record) const override
    {
        Jobs::WorkerInfo worker;
        worker.id = Core::VmId(record.key);
        worker.address = record.key;
        worker.failureDomain = Core::FailureDomainId(record.value);
        worker.service = Jobs::ServiceId("service");
        worker.capacity = { 4000, 4000, 0 };
        worker.bornUnixMs = 1;
        return worker;
    }
};

/// Workers that finish each task before they are asked again.
class QuickWorkers final : public WorkerGateway
{
public:
    asio::awaitable<Jobs::StartOutcome> start(Jobs::StartCommand command, Core::Instant) override
    {
        if (command.token < m_token)
            co_return Jobs::StartOutcome::Fenced;
        ++starts;
        ends[command.worker].push_back(
            { ++m_lastEnd, command.task, command.run, Jobs::EndKind::Done, "" });
        co_return Jobs::StartOutcome::Started;
    }
    asio::awaitable<void> stop(Jobs::StopCommand, Core::Instant) override { co_return; }
    asio::awaitable<void> throttle(Jobs::ThrottleCommand, Core::Instant) override { co_return; }
    asio::awaitable<Jobs::WorkerReport> renew(Jobs::RenewCommand command, Core::Instant) override
    {
        if (command.token < m_token)
            throw FencedError("renew", "worker", "token");
        m_token = command.token;
        Jobs::WorkerReport report;
        report.clockMs = 1000;
        report.bornUnixMs = 1;
        report.ended = ends[command.worker];
        co_return report;
    }

    int starts = 0;
    std::map<Core::VmId, std::vector<Jobs::EndedEntry>> ends;

private:
    std::int64_t m_lastEnd = 0;
    Jobs::FencingToken m_token = 0;
};

/// One node of a site on a log that it shares with others.
struct TestNode
{
    TestNode(const std::string &name, asio::io_context &context, KeyedLog &log,
             WorkerGateway &workers, const SiteDecoder &decoder)
        : state({ name, {}, {} })
        , jobs(state, log, context.get_executor())
        , operators(state, log, decoder, context.get_executor())
        , writer(state, log, context.get_executor())
        , desk(state, jobs, writer)
        , owner(state, log, workers, decoder, jobs, context.get_executor())
    {
    }

    SiteState state;
    JobFollower jobs;
    OperatorFollower operators;
    RecordWriter writer;
    JobDesk desk;
    OwnerPart owner;
};

struct Fixture
{
    asio::io_context context;
    MemoryLog log { context.get_executor() };
    QuickWorkers workers;
    PlainDecoder decoder;
    std::vector<std::unique_ptr<TestNode>> nodes;

    TestNode &addNode(const std::string &name)
    {
        nodes.push_back(std::make_unique<TestNode>(name, context, log, workers, decoder));
        TestNode &node = *nodes.back();
        asio::co_spawn(context, node.jobs.run(), asio::detached);
        asio::co_spawn(context, node.operators.run(), asio::detached);
        return node;
    }
    void own(TestNode &node) { asio::co_spawn(context, node.owner.run(), asio::detached); }
    void run(int ms) { context.run_for(milliseconds(ms)); }
    Core::Instant in(int ms) const { return Core::steadyNow() + milliseconds(ms); }
    WaitingCount countWaiting(TestNode &node)
    {
        return await(node.desk.countWaiting(Jobs::QueueId("queue"), in(1000)));
    }

    /// Runs until \p work has ended, for 5 s at most.
    template<typename Result>
    Result await(asio::awaitable<Result> work)
    {
        std::optional<Result> result;
        asio::co_spawn(context, std::move(work),
                       [&](const std::exception_ptr &failure, Result value) {
                           if (!failure)
                               result = value;
                       });
        for (int i = 0; i < 500 && !result; ++i)
            context.run_for(milliseconds(10));
        REQUIRE(result);
        return *result;
    }
};

Jobs::Submission job(const std::string &id)
{
    Jobs::Submission submission;
    submission.id = Jobs::JobId(id);
    submission.queue.id = Jobs::QueueId("queue");
    submission.queue.service = Jobs::ServiceId("service");
    Jobs::StepSpec step;
    step.taskCount = 2;
    step.need = { 100, 100, 0 };
    submission.spec.steps = { step };
    return submission;
}

} // namespace

TEST_CASE("Jobs are accepted at any node, and what is accepted is in the store")
{
    Fixture site;
    TestNode &node = site.addNode("one#1");
    TestNode &other = site.addNode("two#1");
    site.run(50);

    SECTION("a job is known at the other nodes as soon as they are asked")
    {
        CHECK(site.await(node.desk.submit(job("a"), site.in(1000))) == SubmitOutcome::Accepted);
        const JobFinding finding = site.await(other.desk.find(Jobs::JobId("a"), site.in(1000)));
        CHECK(finding == JobFinding { FindOutcome::Found, Jobs::JobState::Queued });
        CHECK(site.countWaiting(other) == WaitingCount { CountOutcome::Counted, 1 });
    }
    SECTION("a repetition at another node writes nothing once the job is known there")
    {
        site.await(node.desk.submit(job("a"), site.in(1000)));
        site.await(other.desk.find(Jobs::JobId("a"), site.in(1000)));
        const int appends = site.log.appends;
        CHECK(site.await(other.desk.submit(job("a"), site.in(1000))) == SubmitOutcome::Accepted);
        CHECK(site.log.appends == appends);
    }
    SECTION("submissions that come together share an append")
    {
        const int appends = site.log.appends;
        int accepted = 0;
        for (int i = 0; i < 20; ++i)
            asio::co_spawn(site.context,
                           node.desk.submit(job("j" + std::to_string(i)), site.in(1000)),
                           [&](const std::exception_ptr &, SubmitOutcome outcome) {
                               accepted += outcome == SubmitOutcome::Accepted ? 1 : 0;
                           });
        site.run(100);
        CHECK(accepted == 20);
        CHECK(site.log.appends - appends <= 3);
    }
    SECTION("an unknown job is denied only after a look at the store")
    {
        const JobFinding none = site.await(node.desk.find(Jobs::JobId("x"), site.in(1000)));
        CHECK(none.outcome == FindOutcome::NoSuchJob);
        site.log.isDown = true;
        const JobFinding lost = site.await(node.desk.find(Jobs::JobId("x"), site.in(1000)));
        CHECK(lost.outcome == FindOutcome::Unavailable);
    }
    SECTION("while the store refuses, a job is refused, and never runs")
    {
        site.log.isDown = true;
        CHECK(site.await(node.desk.submit(job("a"), site.in(600))) == SubmitOutcome::Refused);
        site.log.isDown = false;
        site.run(300);
        CHECK(node.state.table.find(Jobs::JobId("a")) == nullptr);
    }
    SECTION("once the store is known to be lost, the refusal comes at once")
    {
        site.log.isDown = true;
        site.run(1500);
        const Core::Instant began = Core::steadyNow();
        CHECK(site.await(node.desk.submit(job("a"), site.in(3000))) == SubmitOutcome::Refused);
        CHECK(Core::steadyNow() - began < milliseconds(50));
    }
    SECTION("a job whose append wasn't answered is neither accepted nor refused")
    {
        site.log.losesAnswers = true;
        CHECK(site.await(node.desk.submit(job("a"), site.in(600))) == SubmitOutcome::Unknown);
    }
    SECTION("a cancelled job stays cancelled at every node")
    {
        site.await(node.desk.submit(job("a"), site.in(1000)));
        CHECK(site.await(other.desk.cancel(Jobs::JobId("a"), site.in(1000)))
              == CancelOutcome::Cancelled);
        const JobFinding finding = site.await(node.desk.find(Jobs::JobId("a"), site.in(1000)));
        CHECK(finding.state == Jobs::JobState::Cancelled);
        CHECK(site.await(node.desk.cancel(Jobs::JobId("x"), site.in(1000)))
              == CancelOutcome::NoSuchJob);
    }
}

TEST_CASE("A node that has lost the log's history reads the newest records again")
{
    Fixture site;
    TestNode &node = site.addNode("one#1");
    site.run(50);
    for (const char *id : { "a", "b", "c" })
        CHECK(site.await(node.desk.submit(job(id), site.in(1000))) == SubmitOutcome::Accepted);
    site.log.compact(Topic::Jobs);
    TestNode &late = site.addNode("two#1");
    site.run(100);
    CHECK(late.state.table.jobs().size() == 3);
    site.await(node.desk.submit(job("d"), site.in(1000)));
    site.log.compact(Topic::Jobs);
    site.run(900);
    CHECK(late.state.table.jobs().size() == 4);
}

TEST_CASE("An older catalogue never replaces a newer one")
{
    Fixture site;
    TestNode &node = site.addNode("one#1");
    site.log.put(Topic::Operators, { "config", "7" });
    site.run(100);
    REQUIRE(node.state.catalogue);
    CHECK(node.state.catalogue->version == 7);
    site.log.put(Topic::Operators, { "config", "5" });
    site.run(100);
    CHECK(node.state.catalogue->version == 7);
}

TEST_CASE("One node owns the jobs and runs them")
{
    Fixture site;
    site.log.put(Topic::Workers, { "w1", "a" });
    site.log.put(Topic::Workers, { "w2", "b" });
    TestNode &first = site.addNode("one#1");
    TestNode &second = site.addNode("two#1");
    site.own(first);
    site.run(600);
    REQUIRE(first.state.owner);

    SECTION("a job submitted elsewhere is completed, and each of its tasks starts once")
    {
        site.await(second.desk.submit(job("a"), site.in(1000)));
        site.run(700);
        CHECK(first.state.table.find(Jobs::JobId("a"))->state() == Jobs::JobState::Completed);
        const JobFinding finding = site.await(second.desk.find(Jobs::JobId("a"), site.in(1000)));
        CHECK(finding.state == Jobs::JobState::Completed);
        CHECK(site.workers.starts == 2);
    }
    SECTION("an owner that leaves hands over within a second")
    {
        site.own(second);
        site.run(200);
        CHECK_FALSE(second.state.owner);
        first.state.isLeaving = true;
        first.owner.beginLeaving();
        site.run(1000);
        CHECK_FALSE(first.state.owner);
        CHECK(second.state.owner);
    }
    SECTION("an owner that can't write goes on, and is deposed by a newer claim")
    {
        site.log.isDown = true;
        site.run(800);
        CHECK(first.state.owner);
        site.log.isDown = false;
        const Jobs::OwnerClaim claim { "three#1", 9, false };
        site.log.put(Topic::Jobs, Jobs::encodeRecord(claim).front());
        site.run(700);
        CHECK_FALSE(first.state.owner);
    }
    site.context.stop();
}
