#pragma once

#include "BandwidthLimitedLog.h"
#include "MemoryLog.h"

#include <LibCore/SteadyClock.h>
#include <LibSite/JobFollower.h>
#include <LibSite/JobRequestService.h>
#include <LibSite/OperatorFollower.h>
#include <LibSite/OwnerElection.h>
#include <LibSite/RecordWriter.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace Site;
namespace asio = boost::asio;
using std::chrono::milliseconds;

/// Decodes records in a plain text format: a worker's value is `DOMAIN`, or `DOMAIN!` for a
/// draining worker; the key `out/DOMAIN` takes a domain out of service, or returns it to service if
/// the value is empty; every other operators' record is a catalogue, whose value is its version.
class PlainTextDecoder final : public SiteDecoder
{
public:
    OperatorChange decodeOperatorRecord(const Jobs::StoredRecord &record) const override
    {
        if (record.key.starts_with("out/")) {
            const Core::FailureDomainId domain(record.key.substr(4));
            return DomainChange { domain, !record.value.empty() };
        }
        CatalogueChange change;
        change.catalogue.version = std::stoll(record.value);
        return change;
    }
    Jobs::WorkerInfo decodeWorkerRecord(const Jobs::StoredRecord &record) const override
    {
        Jobs::WorkerInfo worker;
        worker.id = Core::VmId(record.key);
        worker.address = record.key;
        worker.isDraining = record.value.ends_with('!');
        worker.failureDomain
            = Core::FailureDomainId(record.value.substr(0, record.value.find('!')));
        worker.service = Jobs::ServiceId("service");
        worker.capacity = { 4000, 4000, 0 };
        worker.processStartUnixMs = 1;
        return worker;
    }
};

/// Workers that finish every task at once, unless `holdsTasks` is set.
class FakeWorkers final : public WorkerGateway
{
public:
    asio::awaitable<Jobs::StartOutcome> start(Jobs::StartCommand command, Core::Instant) override
    {
        if (command.token < m_token)
            co_return Jobs::StartOutcome::Fenced;
        ++starts;
        running[command.worker].push_back({ command.task, command.run, "", 0, 0 });
        if (!holdsTasks)
            finishAll();
        co_return Jobs::StartOutcome::Started;
    }
    asio::awaitable<void> stop(Jobs::StopCommand, Core::Instant) override { co_return; }
    asio::awaitable<void> throttle(Jobs::ThrottleCommand, Core::Instant) override { co_return; }
    asio::awaitable<Jobs::WorkerReport> renew(Jobs::RenewCommand command, Core::Instant) override
    {
        if (command.token < m_token)
            throw FencedError("renew", "worker", "a higher token was seen");
        if (replaced.contains(command.worker))
            throw OtherIncarnationError("renew", "worker", "another incarnation answers");
        m_token = command.token;
        Jobs::WorkerReport report;
        report.clockMs = 1000;
        report.processStartUnixMs = 1;
        report.ended = ends[command.worker];
        for (Jobs::RunningEntry &entry : running[command.worker])
            entry.percentDone = std::min(entry.percentDone + 1, 99);
        report.running = running[command.worker];
        co_return report;
    }
    void finishAll()
    {
        for (auto &[worker, entries] : running) {
            for (const Jobs::RunningEntry &entry : entries)
                ends[worker].push_back(
                    { ++m_lastEnd, entry.task, entry.run, Jobs::EndKind::Done, "" });
            entries.clear();
        }
    }

    /// Tasks run until `finishAll()` is called.
    bool holdsTasks = false;
    int starts = 0;
    /// Workers at whose addresses another incarnation answers.
    std::set<Core::VmId> replaced;
    std::map<Core::VmId, std::vector<Jobs::RunningEntry>> running;
    std::map<Core::VmId, std::vector<Jobs::EndedEntry>> ends;

private:
    std::int64_t m_lastEnd = 0;
    Jobs::FencingToken m_token = 0;
};

/// One node of a site, on a log that the nodes of the site share.
struct TestNode
{
    TestNode(const SiteSettings &settings, asio::io_context &context, KeyedLog &sharedLog,
             WorkerGateway &workers, const SiteDecoder &decoder)
        : log(context.get_executor(), sharedLog)
        , state(settings)
        , jobs(state, log, context.get_executor())
        , operators(state, log, decoder, context.get_executor())
        , writer(state, log, context.get_executor())
        , jobRequests(state, jobs, writer)
        , election(state, log, workers, decoder, jobs, context.get_executor())
    {
    }

    BandwidthLimitedLog log;
    SiteState state;
    JobFollower jobs;
    OperatorFollower operators;
    RecordWriter writer;
    JobRequestService jobRequests;
    OwnerElection election;
};

struct SiteFixture
{
    asio::io_context context;
    MemoryLog log { context.get_executor() };
    FakeWorkers workers;
    PlainTextDecoder decoder;
    Jobs::SchedulerSettings scheduler;
    Jobs::OwnerMonitorSettings ownerMonitor;
    std::vector<std::unique_ptr<TestNode>> nodes;

    TestNode &addNode(const std::string &name)
    {
        const SiteSettings settings { name, scheduler, ownerMonitor, std::chrono::seconds(2) };
        nodes.push_back(std::make_unique<TestNode>(settings, context, log, workers, decoder));
        TestNode &node = *nodes.back();
        asio::co_spawn(context, node.jobs.run(), asio::detached);
        asio::co_spawn(context, node.operators.run(), asio::detached);
        return node;
    }
    /// Lets \p node claim the jobs.
    void startElection(TestNode &node)
    {
        asio::co_spawn(context, node.election.run(), asio::detached);
    }
    void run(int ms) { context.run_for(milliseconds(ms)); }
    Core::Instant deadlineIn(int ms) const { return Core::steadyNow() + milliseconds(ms); }
    /// The job table that results from all job records ever appended.
    Jobs::JobTable tableOfLog()
    {
        Jobs::JobTable table;
        for (const LoggedRecord &logged : log.history(Topic::Jobs))
            table.apply(Jobs::decodeRecord(logged.record));
        return table;
    }
    WaitingCount countWaiting(TestNode &node)
    {
        return await(node.jobRequests.countWaiting(Jobs::QueueId("queue"), deadlineIn(1000)));
    }

    /// Runs the event loop until \p isTrue() is, for 5 s at most. Returns false if it never is.
    template<typename Condition>
    bool runUntil(const Condition &isTrue)
    {
        for (int i = 0; i < 500 && !isTrue(); ++i)
            context.run_for(milliseconds(10));
        return isTrue();
    }
    /// Runs the event loop until \p work has ended, for 5 s at most.
    template<typename Result>
    Result await(asio::awaitable<Result> work)
    {
        std::optional<Result> result;
        asio::co_spawn(context, std::move(work),
                       [&](const std::exception_ptr &failure, Result value) {
                           if (!failure)
                               result = value;
                       });
        REQUIRE(runUntil([&result] { return result.has_value(); }));
        return *result;
    }
};

inline Jobs::Submission job(const std::string &id)
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
