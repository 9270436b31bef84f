#include "DescriptorShares.h"
#include "LoopbackWorkers.h"
#include "PlatformWorkerClient.h"

#include <LibCore/SteadyClock.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <optional>

#include <sys/resource.h>

namespace asio = boost::asio;

namespace {

constexpr std::size_t workerCount = 1100;
constexpr std::size_t startsPerBurst = 4;
/// The descriptors of a process on the weakest VMs.
constexpr std::size_t descriptors = 4100;
/// Those that are set aside for files, the store, callers, readiness and metrics.
constexpr std::size_t reservedDescriptors = 1800;
constexpr Core::Duration callTime = std::chrono::seconds(6);

/// Lets the process have as many descriptors as the system allows, since the test also holds the
/// workers' ends of the connections; the former limit is restored at the end.
class AllDescriptors
{
public:
    AllDescriptors()
    {
        getrlimit(RLIMIT_NOFILE, &m_former);
        const rlimit all { m_former.rlim_max, m_former.rlim_max };
        setrlimit(RLIMIT_NOFILE, &all);
    }
    ~AllDescriptors() { setrlimit(RLIMIT_NOFILE, &m_former); }
    AllDescriptors(const AllDescriptors &) = delete;
    AllDescriptors &operator=(const AllDescriptors &) = delete;

private:
    rlimit m_former {};
};

struct WorkersFixture
{
    AllDescriptors allDescriptors;
    asio::io_context context;
    LoopbackWorkers workers { context };
    Site::SiteMetrics metrics;
    Adapter::PlatformWorkerClient client {
        context.get_executor(), Adapter::DescriptorShares::divide(descriptors).workerConnections,
        metrics
    };
    std::size_t callsUnderWay = 0;
    std::size_t answeredRenewals = 0;

    void start(std::size_t worker)
    {
        Jobs::StartCommand command;
        command.address = workers.address(worker);
        command.processStartUnixMs = 1;
        ++callsUnderWay;
        asio::co_spawn(context, client.start(std::move(command), Core::steadyNow() + callTime),
                       [this](const std::exception_ptr &, Jobs::StartOutcome) { --callsUnderWay; });
    }
    void renew(std::size_t worker)
    {
        Jobs::RenewCommand command;
        command.address = workers.address(worker);
        ++callsUnderWay;
        asio::co_spawn(context, client.renew(std::move(command), Core::steadyNow() + callTime),
                       [this](const std::exception_ptr &failure, const Jobs::WorkerReport &) {
                           --callsUnderWay;
                           if (!failure)
                               ++answeredRenewals;
                       });
    }
    void startAndRenewAll()
    {
        for (std::size_t i = 0; i < startsPerBurst; ++i)
            for (std::size_t worker = 0; worker < workerCount; ++worker)
                start(worker);
        for (std::size_t worker = 0; worker < workerCount; ++worker)
            renew(worker);
    }
    /// Runs until all calls have ended; returns the most connections that were open at any sample.
    std::size_t finishCalls()
    {
        std::size_t most = 0;
        while (callsUnderWay > 0) {
            context.run_for(std::chrono::milliseconds(100));
            most = std::max(most, workers.openConnections());
        }
        return most;
    }
};

} // namespace

TEST_CASE("Bursts of starts on 1,100 workers don't take the descriptors of store and callers")
{
    WorkersFixture fixture;

    SECTION("all workers answer, so that connections become idle")
    {
        fixture.startAndRenewAll();
        CHECK(fixture.finishCalls() <= descriptors - reservedDescriptors);
        CHECK(fixture.answeredRenewals == workerCount);
    }
    SECTION("a fifth of the workers is silent, so that their calls hold connections")
    {
        constexpr std::size_t silentInterval = 5;
        fixture.workers.silenceEach(silentInterval);
        fixture.startAndRenewAll();
        CHECK(fixture.finishCalls() <= descriptors - reservedDescriptors);
        CHECK(fixture.answeredRenewals == workerCount - workerCount / silentInterval);
    }
}

TEST_CASE("Workers that haven't been called for long are forgotten, some at a time")
{
    constexpr std::size_t calledWorkers = 100;
    WorkersFixture fixture;
    for (std::size_t worker = 0; worker < calledWorkers; ++worker)
        fixture.renew(worker);
    fixture.finishCalls();
    REQUIRE(fixture.client.knownWorkers() == calledWorkers);
    CHECK(fixture.workers.openConnections() == calledWorkers);

    fixture.client.cleanUp(Core::steadyNow());
    CHECK(fixture.client.knownWorkers() == calledWorkers);
    CHECK(fixture.metrics.text().find("lagoonford_worker_connections 100\n") != std::string::npos);

    const Core::Instant later = Core::steadyNow() + Adapter::PlatformWorkerClient::knownTime;
    fixture.client.cleanUp(later);
    CHECK(fixture.client.knownWorkers() > 0);
    fixture.client.cleanUp(later);
    CHECK(fixture.client.knownWorkers() == 0);
    CHECK(fixture.workers.openConnections() == 0);
}

TEST_CASE("A worker whose address can't be read isn't known")
{
    WorkersFixture fixture;
    Jobs::StartCommand command;
    command.address = "nowhere";
    std::optional<Jobs::StartOutcome> outcome;
    asio::co_spawn(fixture.context, fixture.client.start(command, Core::steadyNow() + callTime),
                   [&](const std::exception_ptr &, Jobs::StartOutcome given) { outcome = given; });
    while (!outcome)
        fixture.context.run_one();
    CHECK(outcome == Jobs::StartOutcome::Invalid);
    CHECK(fixture.client.knownWorkers() == 0);
}
