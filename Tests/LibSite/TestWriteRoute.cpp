#include <LibSite/AppendPace.h>
#include <LibSite/LatencyEstimate.h>
#include <LibSite/WriteAdmission.h>
#include <LibSite/WriteRoute.h>

#include <catch2/catch.hpp>

using namespace Site;
using Path = WriteRoute::Path;
using std::chrono::milliseconds;

static Core::Instant at(int ms)
{
    return Core::Instant(milliseconds(100'000 + ms));
}

static const std::string owner = "10.0.0.1:7000";

/// Guards against connections between nodes at a site whose store is fast.
TEST_CASE("A node appends directly while its last append took under 150 ms")
{
    WriteRoute route;
    CHECK(route.choose(owner, at(0)) == WriteRoute::Choice { Path::Direct, at(0) });
    route.noteDirect(milliseconds(149), at(0));
    CHECK(route.choose(owner, at(0)) == WriteRoute::Choice { Path::Direct, at(0) });
    CHECK(route.isDirect());
}

/// Guards against two nodes' appends waiting in a slow store where one would do, and against a node
/// that goes back and forth between the routes.
TEST_CASE("A node forwards after a slow append until the owner reports under 50 ms")
{
    WriteRoute route;
    route.noteDirect(milliseconds(150), at(0));
    CHECK(route.choose(owner, at(0)).path == Path::Forward);
    route.noteOwnerAnswer(milliseconds(50), at(0));
    CHECK(route.choose(owner, at(0)).path == Path::Forward);
    route.noteOwnerAnswer(milliseconds(49), at(0));
    CHECK(route.choose(owner, at(0)).path == Path::Direct);
}

/// Guards against a node that appends to a store it can't reach because the owner reaches it.
TEST_CASE("After a failed append a node returns to direct appends by a probe")
{
    WriteRoute route;
    route.noteDirectFailure(milliseconds(900), at(0));
    CHECK(route.choose(owner, at(0)).path == Path::Forward);
    route.noteOwnerAnswer(milliseconds(60), at(0));
    CHECK(route.choose(owner, at(0)).path == Path::Forward);
    route.noteOwnerAnswer(milliseconds(10), at(0));
    REQUIRE(route.choose(owner, at(0)).path == Path::Probe);
    route.noteProbe(at(0));

    SECTION("a failed one is repeated after 2 s at the earliest")
    {
        route.noteDirectFailure(milliseconds(300), at(300));
        CHECK(route.choose(owner, at(1999)).path == Path::Forward);
        CHECK(route.choose(owner, at(2000)).path == Path::Probe);
    }
    SECTION("a slow one doesn't count")
    {
        route.noteDirect(milliseconds(200), at(200));
        CHECK(route.choose(owner, at(1000)).path == Path::Forward);
        route.noteOwnerAnswer(milliseconds(10), at(0));
        CHECK(route.choose(owner, at(1000)).path == Path::Forward);
    }
    SECTION("a fast one does")
    {
        route.noteDirect(milliseconds(4), at(4));
        CHECK(route.choose(owner, at(5)).path == Path::Direct);
        CHECK(route.isDirect());
    }
}

/// Guards against all nodes appending to a slow store at full rate when the owner is lost.
TEST_CASE("Without the owner, a node pauses for three times the latency between its appends")
{
    WriteRoute route;
    route.noteDirect(milliseconds(200), at(0));
    route.noteOwnerUnreachable(owner, at(100));
    CHECK(route.choose(owner, at(100)) == WriteRoute::Choice { Path::Direct, at(600) });
    CHECK(route.choose(owner, at(700)) == WriteRoute::Choice { Path::Direct, at(700) });
    // The owner is tried again.
    CHECK(route.choose(owner, at(1100)).path == Path::Forward);
    // Another owner is tried at once.
    CHECK(route.choose("10.0.0.2:7000", at(100)).path == Path::Forward);
}

/// Guards against new waits on a site whose nodes have no port for each other.
TEST_CASE("Without an owner that accepts records, a node appends as if the store were fast")
{
    WriteRoute route;
    route.noteDirectFailure(milliseconds(900), at(0));
    CHECK(route.choose("", at(0)) == WriteRoute::Choice { Path::Direct, at(0) });
}

/// Guards against records that are accepted although their caller will have given up.
TEST_CASE("A record is admitted if it is expected to be durable by its deadline")
{
    AppendQueue queue;
    queue.latency = milliseconds(300);
    CHECK(isDurableWithin(queue, milliseconds(300)));
    CHECK_FALSE(isDurableWithin(queue, milliseconds(299)));
    queue.inFlightFor = milliseconds(100);
    CHECK(isDurableWithin(queue, milliseconds(500)));
    CHECK_FALSE(isDurableWithin(queue, milliseconds(499)));
    queue.fullAppends = 2;
    CHECK(drainTime(queue) == milliseconds(800));
    CHECK_FALSE(isDurableWithin(queue, milliseconds(1099)));
    queue.pause = milliseconds(1000);
    CHECK(drainTime(queue) == milliseconds(1800));
    // An append that is late shows that the next one will be, too.
    queue = { milliseconds(4), milliseconds(700), 0, {} };
    CHECK_FALSE(isDurableWithin(queue, milliseconds(699)));
    CHECK(isDurableWithin(queue, milliseconds(700)));
}

TEST_CASE("Callers are told to wait for whole seconds, at least one")
{
    CHECK(retryAfterSeconds({}) == 1);
    CHECK(retryAfterSeconds(milliseconds(1000)) == 1);
    CHECK(retryAfterSeconds(milliseconds(1001)) == 2);
}

static AppendPace paceAfter(int latencyMs)
{
    AppendPace pace;
    pace.begin(at(0));
    pace.end(at(latencyMs));
    return pace;
}

/// Guards against an owner that doubles the appends to a slow store, and against one whose silence
/// lasts until another node claims.
TEST_CASE("The owner's repetitions and time limits follow the latency of its appends")
{
    CHECK(AppendPace().repetitionDelay() == milliseconds(300));
    CHECK(AppendPace().timeLimit() == milliseconds(900));
    CHECK(paceAfter(4).repetitionDelay() == milliseconds(300));
    CHECK(paceAfter(4).timeLimit() == milliseconds(900));
    CHECK(paceAfter(150).repetitionDelay() == milliseconds(450));
    CHECK(paceAfter(150).timeLimit() == milliseconds(1350));
    CHECK(paceAfter(400).repetitionDelay() == milliseconds(1200));
    CHECK(paceAfter(900).repetitionDelay() == milliseconds(1200));
    CHECK(paceAfter(900).timeLimit() == milliseconds(1500));
}

/// Guards against nodes that return to direct appends because the store refuses the owner's at
/// once.
TEST_CASE("A refused append of the owner doesn't count as a fast one")
{
    AppendPace pace = paceAfter(320);
    for (int i = 0; i < 10; ++i) {
        pace.begin(at(1000));
        pace.fail(at(1001));
    }
    CHECK(pace.latency() == milliseconds(320));
}

TEST_CASE("One fast append doesn't hide a slow period")
{
    AppendPace pace = paceAfter(320);
    CHECK(pace.inFlightFor(at(320)) == std::nullopt);
    pace.begin(at(400));
    CHECK(pace.inFlightFor(at(403)) == milliseconds(3));
    pace.end(at(404));
    CHECK(pace.latency() == milliseconds(160));
}

/// Guards against an owner that tells all nodes of seconds of latency because its own VM was paused
/// (review/6).
TEST_CASE("A pause of the owner's process counts as the time limit of one append at most")
{
    AppendPace pace = paceAfter(4300);
    CHECK(pace.latency() == AppendPace().timeLimit());
    pace.begin(at(5000));
    pace.fail(at(9300));
    CHECK(pace.latency() <= milliseconds(1500));

    SECTION("heartbeats alone bring it down again")
    {
        for (int i = 0; i < 6; ++i) {
            pace.begin(at(10'000 + 500 * i));
            pace.end(at(10'004 + 500 * i));
        }
        CHECK(pace.latency() < milliseconds(50));
    }
}

/// Guards against a pause of this process that counts as latency of the store (review/6).
TEST_CASE("The end of a call that was noticed long after its deadline tells no latency")
{
    CHECK(measureLatency(at(0), at(900), at(4)) == milliseconds(4));
    CHECK(measureLatency(at(0), at(900), at(905)) == milliseconds(905));
    CHECK(measureLatency(at(0), at(900), at(4300)) == std::nullopt);
}

/// Guards against a latency that is believed for as long as no write is admitted (review/6).
TEST_CASE("A latency is current for a second")
{
    WriteRoute route;
    CHECK_FALSE(route.estimate(Path::Direct).isCurrent(at(0)));
    route.noteDirect(milliseconds(900), at(0));
    CHECK(route.estimate(Path::Direct).isCurrent(at(1000)));
    CHECK_FALSE(route.estimate(Path::Direct).isCurrent(at(1001)));

    SECTION("nothing is known of an owner that hasn't reported, whatever the node has measured")
    {
        CHECK(route.estimate(Path::Forward) == LatencyEstimate());
    }
    SECTION("a probe is judged by the owner's latency, since it leaves time for forwarding")
    {
        route.noteOwnerAnswer(milliseconds(10), at(0));
        CHECK(route.estimate(Path::Probe).latency == milliseconds(10));
        CHECK(route.estimate(Path::Direct).latency == milliseconds(900));
    }
}
