#include "LogCapture.h"
#include "SiteFixture.h"

#include <thread>

namespace {

/// Other nodes claim after a silence of 1.6 s; this leaves them half a second to read the record.
constexpr milliseconds maxGap(1100);

/// Workers whose reports take the node's event loop some time each.
class ExpensiveWorkers final : public WorkerGateway
{
public:
    asio::awaitable<Jobs::StartOutcome> start(Jobs::StartCommand, Core::Instant) override
    {
        co_return Jobs::StartOutcome::NotSent;
    }
    asio::awaitable<void> stop(Jobs::StopCommand, Core::Instant) override { co_return; }
    asio::awaitable<void> throttle(Jobs::ThrottleCommand, Core::Instant) override { co_return; }
    asio::awaitable<Jobs::WorkerReport> renew(Jobs::RenewCommand, Core::Instant) override
    {
        ++reports;
        std::this_thread::sleep_for(reportTime);
        throw Core::OutcomeUnknownError("renew", "worker", "no answer");
    }

    milliseconds reportTime { 10 };
    int reports = 0;
};

/// A site with one owner, and the times of its records.
struct OwnerSite : SiteFixture
{
    explicit OwnerSite(WorkerGateway &gateway)
        : node(SiteSettings { "one#1", {}, {}, std::chrono::seconds(2) }, context, log, gateway,
               decoder)
    {
        log4cxx::Logger::getRootLogger()->addAppender(lines);
    }
    OwnerSite(const OwnerSite &) = delete;
    OwnerSite &operator=(const OwnerSite &) = delete;
    ~OwnerSite()
    {
        context.stop();
        log4cxx::Logger::getRootLogger()->removeAppender(lines);
    }

    void start()
    {
        asio::co_spawn(context, node.jobs.run(), asio::detached);
        asio::co_spawn(context, node.operators.run(), asio::detached);
        startElection(node);
    }
    /// The number of records in the log, the claim included.
    std::size_t records() { return log.history(Topic::Jobs).size(); }
    /// Runs for \p ms and returns the longest time without a new record.
    Core::Duration longestGapIn(int ms)
    {
        Core::Duration longest = {};
        Core::Instant newestAt = Core::steadyNow();
        std::size_t known = records();
        const Core::Instant end = newestAt + milliseconds(ms);
        while (Core::steadyNow() < end) {
            run(5);
            const Core::Instant now = Core::steadyNow();
            longest = std::max(longest, now - newestAt);
            if (records() == known)
                continue;
            known = records();
            newestAt = now;
        }
        return longest;
    }

    std::shared_ptr<LogCapture> lines = std::make_shared<LogCapture>();
    TestNode node;
};

} // namespace

TEST_CASE("An append without an answer doesn't silence the owner")
{
    FakeWorkers workers;
    OwnerSite site(workers);
    site.start();
    site.run(700);
    REQUIRE(site.node.state.owner);
    site.log.appendFaults = { GENERATE(AppendFault::Lost, AppendFault::Unanswered) };
    CHECK(site.longestGapIn(2400) <= maxGap);
    CHECK(site.log.appendFaults.empty());
    CHECK(site.node.state.owner);
}

TEST_CASE("An append that arrives late, after its repetition, changes nothing")
{
    FakeWorkers workers;
    OwnerSite site(workers);
    site.start();
    site.run(700);
    REQUIRE(site.node.state.owner);
    site.log.appendFaults = { AppendFault::Delayed };
    site.log.delayedArrivalMs = GENERATE(400, 800);
    site.run(1900);
    // The append that announces the epoch contains no record.
    const auto expected = static_cast<std::size_t>(site.log.appends - 1);
    CHECK(site.records() == expected);
    CHECK(site.lines->count("sequence") == 0);
    CHECK(site.lines->count("deposed") == 0);
    CHECK(site.node.state.owner);
}

TEST_CASE("The reports of many workers don't silence the owner")
{
    constexpr int workerCount = 100;
    ExpensiveWorkers workers;
    OwnerSite site(workers);
    site.start();
    site.run(300);
    REQUIRE(site.node.state.owner);
    for (int i = 0; i < workerCount; ++i)
        site.log.put(Topic::Workers, { "w" + std::to_string(i), "a" });
    CHECK(site.longestGapIn(4000) <= maxGap);
    CHECK(workers.reports >= 2 * workerCount);
}
