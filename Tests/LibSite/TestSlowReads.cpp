#include "SiteFixture.h"

static void acceptJobs(SiteFixture &site, TestNode &node, int count)
{
    for (int i = 0; i < count; ++i)
        REQUIRE(
            site.await(node.jobRequests.submit(job("j" + std::to_string(i)), site.deadlineIn(1000)))
            == SubmitOutcome::Accepted);
}

TEST_CASE("A node doesn't count waiting jobs before it has read the records to their end")
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

    SECTION("a node that the store refuses keeps counting for that long")
    {
        site.log.isDown = true;
        site.run(1000);
        CHECK(site.countWaiting(node) == WaitingCount { CountOutcome::Counted, 3 });
        site.run(1500);
        CHECK(site.countWaiting(node).outcome == CountOutcome::Unavailable);

        SECTION("and counts again once it has read the missing records")
        {
            site.log.isDown = false;
            for (const char *id : { "a", "b" })
                site.log.put(Topic::Jobs, Jobs::encodeRecord(job(id)).front());
            CHECK(site.countWaiting(node) == WaitingCount { CountOutcome::Counted, 5 });
        }
    }
}

TEST_CASE("A node on a slow link reads all records though no single read can return them all")
{
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(50);
    acceptJobs(site, node, 12);
    // The six pages take 1.8 s. All pages of a read once shared a deadline of 1.2 s, and a failure
    // discarded the pages that had arrived, so that a node on a slow link never caught up.
    site.log.pageMs = 300;
    TestNode &restarted = site.addNode("two#2");
    site.run(4000);

    CHECK(restarted.state.tableFreshness.wasEverComplete());
    CHECK(restarted.state.table.jobs().size() == 12);
}

TEST_CASE("A node accepts jobs before it has read all records, as long as the store accepts them")
{
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(50);
    acceptJobs(site, node, 12);
    site.log.pageMs = 300;
    TestNode &restarted = site.addNode("two#2");
    site.run(100);
    REQUIRE_FALSE(restarted.state.tableFreshness.wasEverComplete());

    CHECK(site.await(restarted.jobRequests.submit(job("a"), site.deadlineIn(1000)))
          == SubmitOutcome::Accepted);
    const JobLookup lookup
        = site.await(node.jobRequests.find(Jobs::JobId("a"), site.deadlineIn(1000)));
    CHECK(lookup.outcome == FindOutcome::Found);
}

TEST_CASE("Requests during a read don't make a node read any record twice")
{
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(50);
    constexpr int recordBytes = 1000;
    constexpr int records = 200;
    node.log.bytesPerSecond = 140 * recordBytes;
    Jobs::Submission growing = job("growing");
    growing.spec.payload = std::string(recordBytes, 'x');

    // A hundred records a second, and a request for an unknown job every 20 ms.
    for (int i = 0; i < records; i += 2) {
        site.log.put(Topic::Jobs, Jobs::encodeRecord(growing).front());
        site.log.put(Topic::Jobs, Jobs::encodeRecord(growing).front());
        asio::co_spawn(site.context, node.jobRequests.find(Jobs::JobId("x"), site.deadlineIn(2000)),
                       asio::detached);
        site.run(20);
    }
    site.run(1000);
    CHECK(node.jobs.nextOffset() == records);
    CHECK(node.log.deliveredRecords == records);
    site.context.stop();
}

TEST_CASE("A node with delayed reads doesn't claim the jobs of a live owner")
{
    SiteFixture site;
    TestNode &owner = site.addNode("one#1");
    site.startElection(owner);
    site.run(400);
    REQUIRE(owner.state.owner);
    TestNode &lagging = site.addNode("two#1");
    site.run(700);
    REQUIRE(lagging.state.tableFreshness.wasEverComplete());

    const int conditionalAppends = site.log.conditionalAppends;
    // The records that the owner writes in half a second take more than two seconds to arrive.
    lagging.log.bytesPerSecond = 5;
    site.startElection(lagging);
    site.run(4000);
    CHECK(site.log.conditionalAppends == conditionalAppends);
    CHECK(owner.state.owner);
    site.context.stop();
}

TEST_CASE("A node that shuts down before it has read all records rejects requests within a second")
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
    const JobLookup lookup
        = site.await(restarted.jobRequests.find(Jobs::JobId("unknown"), site.deadlineIn(3000)));
    CHECK(lookup.outcome == FindOutcome::Unavailable);
    CHECK(site.await(restarted.jobRequests.cancel(Jobs::JobId("unknown"), site.deadlineIn(3000)))
          == CancelOutcome::Refused);
    CHECK(Core::steadyNow() - began < milliseconds(1000));
}

TEST_CASE("A restarted node answers look-ups from the records that it has read so far")
{
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(50);
    acceptJobs(site, node, 30);
    Jobs::ProgressRecord progress;
    progress.id = Jobs::JobId("j5");
    progress.progress.state = Jobs::JobState::Completed;
    progress.progress.endedUnixMs = 1;
    site.log.put(Topic::Jobs, Jobs::encodeRecord(progress).front());
    site.log.put(Topic::Jobs, Jobs::encodeRecord(Jobs::Cancellation { Jobs::JobId("j5") }).front());
    site.log.put(Topic::Jobs, Jobs::encodeRecord(Jobs::Cancellation { Jobs::JobId("j6") }).front());
    // All records take longer than a caller waits.
    site.log.pageMs = 200;
    TestNode &restarted = site.addNode("two#2");
    const auto find = [&](const char *id) {
        return site.await(restarted.jobRequests.find(Jobs::JobId(id), site.deadlineIn(1500)));
    };

    SECTION("that a job has ended, though its submission comes last")
    {
        CHECK(find("j5") == JobLookup { FindOutcome::Found, Jobs::JobState::Completed });
        CHECK_FALSE(restarted.state.tableFreshness.wasEverComplete());
    }
    SECTION("that a job waits")
    {
        CHECK(find("j0") == JobLookup { FindOutcome::Found, Jobs::JobState::Queued });
        CHECK_FALSE(restarted.state.tableFreshness.wasEverComplete());
    }
    SECTION("but not that a job was cancelled while it may have ended before")
    {
        site.run(500);
        CHECK_FALSE(restarted.state.table.findState(Jobs::JobId("j6")));
    }
    SECTION("but not that there is no such job")
    {
        CHECK(find("unknown").outcome == FindOutcome::Unavailable);
    }
    SECTION("and counts no jobs")
    {
        site.run(1500);
        CHECK(site.countWaiting(restarted).outcome == CountOutcome::Unavailable);
    }
    site.context.stop();
}

TEST_CASE("A node catches up though the store takes longer for a page than a node waits at first")
{
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(50);
    // Its two records are one page.
    acceptJobs(site, node, 1);
    site.log.pageMs = 1200;
    TestNode &restarted = site.addNode("two#2");
    site.run(3500);

    CHECK(restarted.state.tableFreshness.wasEverComplete());
    site.context.stop();
}

TEST_CASE("A node serves from the states of the jobs before it has read their submissions")
{
    constexpr int jobs = 12;
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(50);
    acceptJobs(site, node, jobs);
    // The states are six pages of the snapshot, the submissions six more.
    site.log.pageMs = 200;
    TestNode &restarted = site.addNode("two#2");
    site.startElection(restarted);
    REQUIRE(site.runUntil([&] { return restarted.state.tableFreshness.wasEverComplete(); }));
    REQUIRE_FALSE(restarted.jobs.isDetailed());
    const auto find = [&](const char *id) {
        return site.await(restarted.jobRequests.find(Jobs::JobId(id), site.deadlineIn(1000)));
    };

    SECTION("it counts and finds them")
    {
        CHECK(site.countWaiting(restarted) == WaitingCount { CountOutcome::Counted, jobs });
        CHECK(find("j11").outcome == FindOutcome::Found);
        CHECK(restarted.state.table.jobs().size() < jobs);
    }
    SECTION("it denies no job and doesn't claim them")
    {
        CHECK(find("unknown").outcome == FindOutcome::Unavailable);
        CHECK_FALSE(restarted.state.owner);
        CHECK_FALSE(restarted.state.ownerMonitor.claim());

        SECTION("until it has read the submissions, too")
        {
            REQUIRE(site.runUntil([&] { return restarted.jobs.isDetailed(); }));
            CHECK(restarted.state.table.jobs().size() == jobs);
            site.log.pageMs = 0;
            CHECK(find("unknown").outcome == FindOutcome::NoSuchJob);
            CHECK(site.runUntil([&] { return restarted.state.owner != nullptr; }));
        }
    }
    SECTION("what ends while it reads them has ended")
    {
        for (const char *id : { "j3", "j10" }) {
            for (const Jobs::StoredRecord &record : Jobs::encodeRecord(
                     Jobs::EndedJob { Jobs::JobId(id), Jobs::JobState::Completed, 1 }))
                site.log.put(Topic::Jobs, record);
        }
        for (const Jobs::StoredRecord &record :
             Jobs::encodeRecord(Jobs::JobDeletion { Jobs::JobId("j4") }))
            site.log.put(Topic::Jobs, record);
        REQUIRE(site.runUntil([&] { return restarted.jobs.isDetailed(); }));
        CHECK(restarted.state.table == site.tableOfLog());
        CHECK(find("j10").state == Jobs::JobState::Completed);
    }
    SECTION("a lost history makes it read all again before it counts as having read them")
    {
        site.log.put(Topic::Jobs, Jobs::encodeRecord(job("a")).front());
        site.log.compact(Topic::Jobs);
        site.run(300);
        CHECK_FALSE(restarted.jobs.isDetailed());
        REQUIRE(site.runUntil([&] { return restarted.jobs.isDetailed(); }));
        CHECK(restarted.state.table == site.tableOfLog());
    }
    site.context.stop();
}
