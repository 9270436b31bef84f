#include "TwoWorkers.h"

#include <catch2/catch.hpp>

using namespace Jobs;

TEST_CASE("A job waits until one of its tasks may start")
{
    TwoWorkers site({ 1, 0, Core::Instant() });
    site.report(TwoWorkers::first, {});
    site.report(TwoWorkers::second, {});
    site.settle();

    SECTION("a job with room for it begins at once")
    {
        site.submit(TwoWorkers::step(2));
        CHECK(site.waitingCount() == 1);
        CHECK(site.settle().size() == 2);
        CHECK(site.waitingCount() == 0);
    }
    SECTION("a gang that doesn't fit as a whole goes on waiting")
    {
        StepSpec step = TwoWorkers::step(5, 2000);
        step.isGang = true;
        site.submit(step);
        CHECK(site.settle().empty());
        CHECK(site.waitingCount() == 1);
        SECTION("and nothing is written for it")
        {
            CHECK(site.recordsWritten() == 0);
        }
    }
    SECTION("a job whose start the store's outage prevents waits again")
    {
        site.submit(TwoWorkers::step(1));
        site.plan();
        site.setStoreReachable(false);
        CHECK(site.settle().empty());
        site.commit();
        CHECK(site.waitingCount() == 1);
        site.setStoreReachable(true);
        CHECK(site.settle().size() == 1);
        CHECK(site.waitingCount() == 0);
    }
}
