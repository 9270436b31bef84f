#include "SiteFixture.h"

static void acceptJobs(SiteFixture &site, TestNode &node, int count)
{
    for (int i = 0; i < count; ++i)
        REQUIRE(site.await(node.desk.submit(job("j" + std::to_string(i)), site.in(1000)))
                == SubmitOutcome::Accepted);
}

TEST_CASE("No count of waiting jobs is given from records that were never read to their end")
{
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(50);
    acceptJobs(site, node, 12);
    site.log.pageMs = 300;
    TestNode &restarted = site.addNode("two#2");
    site.run(100);

    const WaitingCount waiting = site.countWaiting(restarted);
    CHECK((waiting.outcome == CountOutcome::Unavailable || waiting.jobs == 12));
}

TEST_CASE("A count of waiting jobs is at most two seconds old")
{
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(50);
    acceptJobs(site, node, 3);
    site.run(700);
    REQUIRE(site.countWaiting(node) == WaitingCount { CountOutcome::Counted, 3 });

    SECTION("a node that the store turns away goes on counting for that long")
    {
        site.log.isDown = true;
        site.run(1000);
        CHECK(site.countWaiting(node) == WaitingCount { CountOutcome::Counted, 3 });
        site.run(1500);
        CHECK(site.countWaiting(node).outcome == CountOutcome::Unavailable);

        SECTION("and counts again once it has read what it missed")
        {
            site.log.isDown = false;
            for (const char *id : { "a", "b" })
                site.log.put(Topic::Jobs, Jobs::encodeRecord(job(id)).front());
            CHECK(site.countWaiting(node) == WaitingCount { CountOutcome::Counted, 5 });
        }
    }
}

TEST_CASE("A node behind a slow link reads all records though no single read brings them all")
{
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(50);
    acceptJobs(site, node, 12);
    // Six pages; one read may take 1.2 s.
    site.log.pageMs = 300;
    TestNode &restarted = site.addNode("two#2");
    site.run(4000);

    CHECK(restarted.state.freshness.wasEverComplete());
    CHECK(restarted.state.table.jobs().size() == 12);
}

TEST_CASE("A node that is still reading accepts jobs while the store takes them")
{
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(50);
    acceptJobs(site, node, 12);
    site.log.pageMs = 300;
    TestNode &restarted = site.addNode("two#2");
    site.run(100);
    REQUIRE_FALSE(restarted.state.freshness.wasEverComplete());

    CHECK(site.await(restarted.desk.submit(job("a"), site.in(1000))) == SubmitOutcome::Accepted);
    const JobFinding finding = site.await(node.desk.find(Jobs::JobId("a"), site.in(1000)));
    CHECK(finding.outcome == FindOutcome::Found);
}

TEST_CASE("Callers that ask while a node reads don't make it read anything twice")
{
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(50);
    constexpr int recordBytes = 1000;
    constexpr int records = 200;
    node.log.bytesPerSecond = 140 * recordBytes;
    Jobs::Submission growing = job("growing");
    growing.spec.payload = std::string(recordBytes, 'x');

    // A hundred records a second, and a caller every 20 ms who asks for an unknown job.
    for (int i = 0; i < records; i += 2) {
        site.log.put(Topic::Jobs, Jobs::encodeRecord(growing).front());
        site.log.put(Topic::Jobs, Jobs::encodeRecord(growing).front());
        asio::co_spawn(site.context, node.desk.find(Jobs::JobId("x"), site.in(2000)),
                       asio::detached);
        site.run(20);
    }
    site.run(1000);
    CHECK(node.jobs.nextOffset() == records);
    CHECK(node.log.deliveredRecords == records);
    site.context.stop();
}

TEST_CASE("A node whose reads lag doesn't take a living owner for dead")
{
    SiteFixture site;
    TestNode &owner = site.addNode("one#1");
    site.own(owner);
    site.run(400);
    REQUIRE(owner.state.owner);
    TestNode &lagging = site.addNode("two#1");
    site.run(700);
    REQUIRE(lagging.state.freshness.wasEverComplete());

    const int conditionalAppends = site.log.conditionalAppends;
    // What the owner writes in half a second takes more than two seconds to arrive.
    lagging.log.bytesPerSecond = 5;
    site.own(lagging);
    site.run(4000);
    CHECK(site.log.conditionalAppends == conditionalAppends);
    CHECK(owner.state.owner);
    site.context.stop();
}

TEST_CASE("A leaving node that is still reading sends questions elsewhere before it goes")
{
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(50);
    acceptJobs(site, node, 12);
    site.log.pageMs = 300;
    TestNode &restarted = site.addNode("two#2");
    site.run(100);
    restarted.state.isLeaving = true;

    const Core::Instant began = Core::steadyNow();
    const JobFinding finding
        = site.await(restarted.desk.find(Jobs::JobId("unknown"), site.in(3000)));
    CHECK(finding.outcome == FindOutcome::Unavailable);
    CHECK(site.await(restarted.desk.cancel(Jobs::JobId("unknown"), site.in(3000)))
          == CancelOutcome::Refused);
    CHECK(Core::steadyNow() - began < milliseconds(1000));
}
