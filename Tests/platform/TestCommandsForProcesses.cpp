#include "RestartingWorkerFixture.h"

#include <LibCore/SteadyClock.h>

#include <boost/asio/co_spawn.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <utility>
#include <vector>

namespace asio = boost::asio;

namespace {

constexpr std::int64_t leaseDeadlineMs = 500'000;

using Renewal = RestartingWorker::Renewal;
using Starts = std::vector<std::int64_t>;

struct OneWorker : RestartingWorkerFixture
{
    std::vector<Jobs::StartOutcome> outcomes;

    void beginStart(std::int64_t processStartUnixMs)
    {
        Jobs::StartCommand command;
        command.address = worker.address();
        command.processStartUnixMs = processStartUnixMs;
        command.leaseDeadlineMs = leaseDeadlineMs;
        asio::co_spawn(context, client.start(std::move(command), Core::steadyNow() + callTime),
                       [this](const std::exception_ptr &, Jobs::StartOutcome outcome) {
                           outcomes.push_back(outcome);
                       });
    }
    void finishStarts(std::size_t count)
    {
        for (int i = 0; i < 500 && outcomes.size() < count; ++i)
            context.run_for(std::chrono::milliseconds(10));
        REQUIRE(outcomes.size() == count);
    }
    Jobs::StartOutcome start(std::int64_t processStartUnixMs)
    {
        outcomes.clear();
        beginStart(processStartUnixMs);
        finishStarts(1);
        return outcomes.front();
    }
    std::optional<Jobs::WorkerReport> renew(std::int64_t processStartUnixMs,
                                            std::int64_t deadlineMs)
    {
        Jobs::RenewCommand command;
        command.processStartUnixMs = processStartUnixMs;
        command.leaseDeadlineMs = deadlineMs;
        return reportFor(std::move(command));
    }
    bool hasCountedQuestions(int count) const
    {
        const std::string line
            = "lagoonford_worker_process_questions_total " + std::to_string(count) + '\n';
        return metrics.text().find(line) != std::string::npos;
    }
    /// Whether a process has received a lease deadline.
    bool hasLease(std::int64_t processStartUnixMs) const
    {
        for (const Renewal &renewal : worker.renewals()) {
            if (renewal.processStartUnixMs == processStartUnixMs && renewal.leaseDeadlineMs > 0)
                return true;
        }
        return false;
    }
};

} // namespace

// Guards against TWICE: the next process under a worker's ID carries out a start that was meant for
// the former one, with a lease deadline on the former one's clock.
TEST_CASE("Only the process that a start names gets it")
{
    OneWorker site;
    const std::int64_t former = site.worker.processStartUnixMs();
    const std::int64_t next = former + 1;

    SECTION("over a new connection, once it has said which process it is")
    {
        CHECK(site.start(former) == Jobs::StartOutcome::Started);
        CHECK(site.worker.starts() == Starts { former });
        CHECK(site.worker.renewals() == std::vector<Renewal> { { former, 0, 0 } });

        SECTION("and without a further question over the same one")
        {
            CHECK(site.start(former) == Jobs::StartOutcome::Started);
            CHECK(site.worker.renewals().size() == 1);
            CHECK(site.hasCountedQuestions(1));
        }
    }
    SECTION("several at once, each over a connection of its own")
    {
        constexpr std::size_t count = 5;
        for (std::size_t i = 0; i < count; ++i)
            site.beginStart(former);
        site.finishStarts(count);
        CHECK(site.outcomes == std::vector(count, Jobs::StartOutcome::Started));
        CHECK(site.worker.starts() == Starts(count, former));
    }
    SECTION("not the next one, if that answers a new connection")
    {
        site.worker.restart();
        CHECK(site.start(former) == Jobs::StartOutcome::OtherProcess);
        CHECK(site.worker.starts().empty());
    }
    SECTION("not the next one, if the former one ended while its connection was idle")
    {
        REQUIRE(site.start(former) == Jobs::StartOutcome::Started);
        site.worker.restart();
        CHECK(site.start(former) == Jobs::StartOutcome::OtherProcess);
        CHECK(site.worker.starts() == Starts { former });
    }
    SECTION("not the next one, if the former one ends while it gets the start")
    {
        REQUIRE(site.start(former) == Jobs::StartOutcome::Started);
        site.worker.restartOnNextCall();
        CHECK(site.start(former) == Jobs::StartOutcome::Unknown);
        CHECK(site.worker.starts() == Starts { former, former });
    }
    SECTION("not the next one, if the former one ends while it is asked")
    {
        site.worker.restartOnNextCall();
        CHECK(site.start(former) == Jobs::StartOutcome::NotSent);
        CHECK(site.worker.starts().empty());
    }
    SECTION("not the next one, if the former one ends between the question and the start")
    {
        site.worker.restartOnCall(2);
        CHECK(site.start(former) == Jobs::StartOutcome::Interrupted);
        CHECK(site.worker.starts() == Starts { former });
    }
    SECTION("not at all, if the question takes most of its time")
    {
        site.worker.holdNextRenewal();
        site.beginStart(former);
        site.context.run_for(OneWorker::callTime - Site::WorkerGateway::minStartTime / 2);
        site.worker.answerHeld();
        site.finishStarts(1);
        CHECK(site.outcomes.front() == Jobs::StartOutcome::NotSent);
        CHECK(site.worker.starts().empty());
        CHECK(site.start(former) == Jobs::StartOutcome::Started);
    }
    SECTION("not the former one, if the next one is meant")
    {
        CHECK(site.start(next) == Jobs::StartOutcome::OtherProcess);
        CHECK(site.worker.starts().empty());
    }
    SECTION("again, if only its connection broke")
    {
        REQUIRE(site.start(former) == Jobs::StartOutcome::Started);
        site.worker.breakNextConnection();
        CHECK(site.start(former) == Jobs::StartOutcome::Started);
        CHECK(site.worker.starts() == Starts { former, former, former });
    }
}

// Guards against TWICE: as above; a lease deadline never shortens and holds for all runs there.
TEST_CASE("Only the process that a renewal names gets its lease deadline")
{
    OneWorker site;
    const std::int64_t former = site.worker.processStartUnixMs();
    const std::int64_t next = former + 1;

    SECTION("over a new connection, once it has said which process it is")
    {
        REQUIRE(site.renew(former, leaseDeadlineMs));
        CHECK(site.worker.renewals()
              == std::vector<Renewal> { { former, 0, 0 }, { former, 0, leaseDeadlineMs } });
        REQUIRE(site.renew(former, leaseDeadlineMs));
        CHECK(site.worker.renewals().size() == 3);
        CHECK(site.hasCountedQuestions(1));
    }
    SECTION("not a process that ends between the question and the renewal")
    {
        site.worker.restartOnCall(2);
        REQUIRE(site.renew(former, leaseDeadlineMs));
        CHECK(site.lastReport->processStartUnixMs == former);
        CHECK_FALSE(site.hasLease(next));
    }
    SECTION("not the next one, whose report the caller gets instead")
    {
        REQUIRE(site.renew(former, 0));
        site.worker.restart();
        REQUIRE(site.renew(former, leaseDeadlineMs));
        CHECK(site.lastReport->processStartUnixMs == next);
        CHECK_FALSE(site.hasLease(next));
    }
    SECTION("not the next one, if the former one ends while it gets the renewal")
    {
        REQUIRE(site.renew(former, 0));
        site.worker.restartOnNextCall();
        REQUIRE(site.renew(former, leaseDeadlineMs));
        CHECK(site.lastReport->processStartUnixMs == next);
        CHECK_FALSE(site.hasLease(next));
    }
    SECTION("the next one, once it is the one that is meant")
    {
        site.worker.restart();
        REQUIRE(site.renew(next, leaseDeadlineMs));
        CHECK(site.hasLease(next));
    }
}
