#include "OwnerLoadSimulation.h"

#include <LibJob/JobTiming.h>

#include <catch2/catch.hpp>

using namespace Jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("The timing of a job tells when each of its steps reached each stage")
{
    const Core::Instant due(seconds(100));
    const auto atMs = [due](int ms) { return due + milliseconds(ms); };
    JobTiming timing(2, atMs(12));
    timing.noteReady(0, atMs(12));
    timing.noteReady(0, atMs(90));
    timing.noteStarted(0, atMs(20), atMs(50), atMs(60));
    timing.noteStarted(0, atMs(25), atMs(55), atMs(65));

    SECTION("a stage that hasn't been reached is left open")
    {
        CHECK(timing.describe(due)
              == "known_ms=12 ready_ms=12,- planned_ms=25,- sent_ms=55,- started_ms=65,- "
                 "done_ms=-,- unwatched_ms=0,0");
    }
    SECTION("the end says for how long it may have gone unnoticed")
    {
        timing.noteDone(0, atMs(1100), milliseconds(110));
        timing.noteReady(1, atMs(1100));
        CHECK(timing.describe(due)
              == "known_ms=12 ready_ms=12,1100 planned_ms=25,- sent_ms=55,- started_ms=65,- "
                 "done_ms=1100,- unwatched_ms=110,0");
    }
    SECTION("a job of many steps doesn't make a long line")
    {
        CHECK(JobTiming(1000, due).describe(due).size() < 300);
    }
}

TEST_CASE("For a late job the log and the metrics tell where its time went")
{
    const QueueLoad load { "queue", 0, 5, 2, 2, 4, 1000, 1000, false, 1.5, 250 };
    OwnerLoadSimulation site(10, { load }, LoopCosts());
    site.run(seconds(10));
    REQUIRE(site.lateJobs().empty());
    CHECK(site.longestWait("queue", 0) < milliseconds(100));
    CHECK(site.longestWait("queue", 1) < milliseconds(100));

    SECTION("an owner that stood still leaves lines whose stages lie behind that time")
    {
        site.pause(seconds(3));
        site.run(seconds(10));
        REQUIRE_FALSE(site.lateJobs().empty());
        const std::string &line = site.lateJobs().front();
        CHECK(line.find("queue=queue priority=0 total_ms=") == 0);
        CHECK(line.find(" objective_ms=3250 ") != std::string::npos);
        for (const char *stage : { " known_ms=", " ready_ms=", " planned_ms=", " sent_ms=",
                                   " started_ms=", " done_ms=", " unwatched_ms=" })
            CHECK(line.find(stage) != std::string::npos);
        CHECK(site.longestUnwatched() > milliseconds(2500));
        CHECK(site.longestToDurable() < milliseconds(200));
    }
}
