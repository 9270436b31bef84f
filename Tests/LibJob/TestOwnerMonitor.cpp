#include <LibJob/OwnerMonitor.h>

#include <catch2/catch.hpp>

using namespace Jobs;
using std::chrono::milliseconds;

namespace {

Core::Instant at(int ms)
{
    return Core::Instant(milliseconds(100'000 + ms));
}

/// Reads every 300 ms, like a node that isn't the owner.
void readUntil(OwnerMonitor &monitor, int fromMs, int untilMs)
{
    for (int ms = fromMs; ms <= untilMs; ms += 300)
        monitor.noteRead(true, at(ms));
}

} // namespace

TEST_CASE("A node claims the jobs only when they have no live owner")
{
    OwnerMonitor monitor("node#2", {});

    SECTION("before the first read no claim is made")
    {
        CHECK_FALSE(monitor.claimAt());
    }
    SECTION("a site that never had an owner is claimed within the jitter")
    {
        monitor.noteRead(true, at(0));
        REQUIRE(monitor.claimAt());
        CHECK(*monitor.claimAt() <= at(300));
    }

    monitor.noteRead(true, at(0));
    monitor.noteClaim(5, { "node#1", 0, false }, at(0));

    SECTION("an owner that writes isn't replaced")
    {
        readUntil(monitor, 300, 3000);
        monitor.noteOwnerWrite(at(3000));
        CHECK(*monitor.claimAt() > at(4500));
    }
    SECTION("an owner that has stopped writing is replaced within 2 s")
    {
        readUntil(monitor, 300, 1900);
        CHECK(*monitor.claimAt() <= at(2000));
    }
    SECTION("the timeout doesn't run while the store can't be read")
    {
        monitor.noteRead(false, at(500));
        CHECK_FALSE(monitor.claimAt());
        monitor.noteRead(true, at(9000));
        CHECK(*monitor.claimAt() >= at(9000 + 1600));
    }
    SECTION("an owner that has released the jobs is replaced within 100 ms")
    {
        monitor.noteClaim(6, { "node#1", 0, true }, at(400));
        CHECK(*monitor.claimAt() <= at(500));
    }
    SECTION("an older claim that is read again is ignored")
    {
        monitor.noteClaim(9, { "node#3", 1, false }, at(500));
        monitor.noteClaim(5, { "node#1", 0, false }, at(600));
        CHECK(monitor.claim()->node == "node#3");
        CHECK(monitor.claimOffset() == 9);
    }
    SECTION("a claim of an earlier incarnation of this node isn't its own")
    {
        monitor.noteClaim(9, { "node#1", 1, false }, at(500));
        CHECK_FALSE(monitor.isOwner());
        monitor.noteClaim(12, { "node#2", 2, false }, at(600));
        CHECK(monitor.isOwner());
    }
}

TEST_CASE("A node with a slow link lets nodes with more bandwidth claim first")
{
    OwnerMonitorSettings settings;
    settings.linkMegabitsPerSecond = 10;
    OwnerMonitor slow("slow#1", settings);
    settings.linkMegabitsPerSecond = 200;
    OwnerMonitor fast("fast#1", settings);
    for (OwnerMonitor *monitor : { &slow, &fast }) {
        monitor->noteRead(true, at(0));
        monitor->noteClaim(5, { "node#1", 0, false }, at(0));
    }

    SECTION("when an owner has died")
    {
        readUntil(slow, 300, 3000);
        readUntil(fast, 300, 3000);
        CHECK(*fast.claimAt() <= at(2000));
        CHECK(*slow.claimAt() >= *fast.claimAt() + milliseconds(300));

        SECTION("but claims the jobs if no other node does")
        {
            CHECK(*slow.claimAt() <= at(2600));
        }
    }
    SECTION("when an owner has released the jobs")
    {
        for (OwnerMonitor *monitor : { &slow, &fast })
            monitor->noteClaim(6, { "node#1", 0, true }, at(400));
        CHECK(*fast.claimAt() <= at(500));
        CHECK(*slow.claimAt() >= at(1000));
    }
}

TEST_CASE("A new owner's wait for former leases counts from the last record of the former owner")
{
    OwnerMonitor monitor("node#2", {});
    monitor.noteRead(true, at(0));
    monitor.noteClaim(5, { "node#1", 0, false }, at(0));
    monitor.noteOwnerWrite(at(2000));

    SECTION("not from the new owner's own claim")
    {
        monitor.noteClaim(9, { "node#2", 1, false }, at(3800));
        CHECK(monitor.formerOwnerSeenAt() == at(2000));
    }
    SECTION("also if that record follows the claim, before the former owner is fenced off")
    {
        monitor.noteClaim(9, { "node#2", 1, false }, at(3800));
        monitor.noteOwnerWrite(at(3850));
        CHECK(monitor.formerOwnerSeenAt() == at(3850));
    }
    SECTION("which may be the claim of an owner that wrote nothing else")
    {
        monitor.noteClaim(9, { "node#3", 1, false }, at(3800));
        monitor.noteClaim(12, { "node#2", 2, false }, at(7000));
        CHECK(monitor.formerOwnerSeenAt() == at(3800));
    }
}
