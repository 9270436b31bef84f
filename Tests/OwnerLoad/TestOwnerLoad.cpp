#include "OwnerLoadSimulation.h"
#include "RunCounts.h"

#include <catch2/catch.hpp>

using namespace Jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Half of a large site, whose owner's processor takes \p factor times as long for each call. At
/// 1 its loop is busy for 0.86 of the time, at 1.5 it bears less than what comes in.
class LoadedOwner : public OwnerLoadSimulation
{
public:
    explicit LoadedOwner(double factor)
        : OwnerLoadSimulation(550, load(),
                              LoopCosts().withCallsScaledBy(1 / share).scaledBy(factor))
    {
        run(seconds(5));
        beginCounting();
    }

private:
    static constexpr double share = 0.5;

    static std::vector<QueueLoad> load()
    {
        const QueueLoad urgent { "urgent", 0, 16.5 * share, 1, 2, 13, 1000, 6000, false, 1.5, 250 };
        const QueueLoad ordinary {
            "ordinary", 2, 24 * share, 2, 2, 40, 2200, 3500, false, 1.5, 1000
        };
        const QueueLoad lasting { "lasting", 0, 1.19 * share, 1, 1, 24, 320, 500, true, 1.5, 2500 };
        return { urgent, ordinary, lasting };
    }
};

/// What today's code costs, as a multiple of LoopCosts.
double currentCost()
{
    // Those of e3beb63, which LoopCosts are taken for.
    constexpr RunCounts ofLoopCosts { 59'200, 86'300, 67'000 };
    return RunCounts::read("Tests/OwnerLoad/run-costs.txt").total() / ofLoopCosts.total();
}

} // namespace

TEST_CASE("An owner that bears what comes in serves all queues on time")
{
    LoadedOwner site(1.0);
    site.run(seconds(40));
    CHECK(site.result("urgent").onTimeShare() >= 0.99);
    CHECK(site.result("ordinary").onTimeShare() >= 0.99);
    CHECK(site.lapsedRuns() == 0);
    // More calls or turns for the same starts would use up the rest.
    CHECK(site.utilization() <= 0.9);
}

TEST_CASE("An owner bears twice what comes in")
{
    LoadedOwner site(2 * currentCost());
    site.run(seconds(40));
    CHECK(site.result("ordinary").onTimeShare() >= 0.95);
}

TEST_CASE("A small queue of the highest priority gets all its starts in time from an owner that "
          "bears less than what comes in")
{
    LoadedOwner site(GENERATE(1.3, 1.5, 2.0));
    site.run(seconds(40));
    REQUIRE(site.result("urgent").owed > 50);
    CHECK(site.result("urgent").onTimeShare() >= 0.95);
    CHECK(site.lapsedRuns() == 0);
    CHECK(site.longestWait("urgent", 0) < milliseconds(500));
    CHECK(site.longestWait("urgent", 1) < milliseconds(500));
}

TEST_CASE("An owner that bears less than what comes in learns the ends of urgent tasks first")
{
    LoadedOwner site(1.5);
    site.run(seconds(40));
    CHECK(site.meanUnwatched("urgent") < milliseconds(300));
    CHECK(site.meanUnwatched("urgent") < site.meanUnwatched("ordinary"));
}

TEST_CASE("An owner that bears less than what comes in lets its calls wait for less than a fifth "
          "of a second, and starts as much as its processor allows")
{
    LoadedOwner site(1.5);
    site.run(seconds(40));
    CHECK(site.meanLag() < milliseconds(200));
    CHECK(site.utilization() > 0.98);
    // What comes in is 2010 tasks a second on the whole site.
    CHECK(site.starts() / 40 > 670);
    CHECK(site.result("ordinary").onTimeShare() >= 0.4);
}
