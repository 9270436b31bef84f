#include <LibJob/OwnerWatch.h>

#include <catch2/catch.hpp>

using namespace Jobs;
using std::chrono::milliseconds;

namespace {

Core::Instant at(int ms)
{
    return Core::Instant(milliseconds(100'000 + ms));
}

/// Reads every 300 ms, as a node does that only follows.
void readUntil(OwnerWatch &watch, int fromMs, int untilMs)
{
    for (int ms = fromMs; ms <= untilMs; ms += 300)
        watch.noteRead(true, at(ms));
}

} // namespace

TEST_CASE("A node claims the jobs only when their owner is gone")
{
    OwnerWatch watch("node#2", {});

    SECTION("without a first read nothing is known")
    {
        CHECK_FALSE(watch.claimAt());
    }
    SECTION("a site that never had an owner is claimed at once")
    {
        watch.noteRead(true, at(0));
        REQUIRE(watch.claimAt());
        CHECK(*watch.claimAt() <= at(300));
    }

    watch.noteRead(true, at(0));
    watch.noteClaim(5, { "node#1", 0, false }, at(0));

    SECTION("an owner that writes is left alone")
    {
        readUntil(watch, 300, 3000);
        watch.noteSign(at(3000));
        CHECK(*watch.claimAt() > at(4500));
    }
    SECTION("a silent one is replaced within 2 s")
    {
        readUntil(watch, 300, 1900);
        CHECK(*watch.claimAt() <= at(2000));
    }
    SECTION("silence doesn't count while the store can't be read")
    {
        watch.noteRead(false, at(500));
        CHECK_FALSE(watch.claimAt());
        watch.noteRead(true, at(9000));
        CHECK(*watch.claimAt() >= at(9000 + 1600));
    }
    SECTION("one that has released the jobs is replaced at once")
    {
        watch.noteClaim(6, { "node#1", 0, true }, at(400));
        CHECK(*watch.claimAt() <= at(500));
    }
    SECTION("an older claim that is read again changes nothing")
    {
        watch.noteClaim(9, { "node#3", 1, false }, at(500));
        watch.noteClaim(5, { "node#1", 0, false }, at(600));
        CHECK(watch.claim()->node == "node#3");
        CHECK(watch.claimOffset() == 9);
    }
    SECTION("an earlier run of the same node is another node")
    {
        watch.noteClaim(9, { "node#1", 1, false }, at(500));
        CHECK_FALSE(watch.isOwner());
        watch.noteClaim(12, { "node#2", 2, false }, at(600));
        CHECK(watch.isOwner());
    }
}

TEST_CASE("A node behind a slow link leaves the claim to better suited ones")
{
    OwnerWatchSettings settings;
    settings.linkMegabitsPerSecond = 10;
    OwnerWatch slow("slow#1", settings);
    settings.linkMegabitsPerSecond = 200;
    OwnerWatch fast("fast#1", settings);
    for (OwnerWatch *watch : { &slow, &fast }) {
        watch->noteRead(true, at(0));
        watch->noteClaim(5, { "node#1", 0, false }, at(0));
    }

    SECTION("when an owner has died")
    {
        readUntil(slow, 300, 3000);
        readUntil(fast, 300, 3000);
        CHECK(*fast.claimAt() <= at(2000));
        CHECK(*slow.claimAt() >= *fast.claimAt() + milliseconds(300));

        SECTION("but doesn't leave the site without an owner")
        {
            CHECK(*slow.claimAt() <= at(2600));
        }
    }
    SECTION("when an owner has released the jobs")
    {
        for (OwnerWatch *watch : { &slow, &fast })
            watch->noteClaim(6, { "node#1", 0, true }, at(400));
        CHECK(*fast.claimAt() <= at(500));
        CHECK(*slow.claimAt() >= at(1000));
    }
}
