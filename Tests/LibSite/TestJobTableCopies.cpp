#include "SiteFixture.h"

#include <LibSite/SentProgressCache.h>

static void appendClaim(SiteFixture &site, const std::string &node)
{
    const Jobs::OwnerClaim claim { node, 9, false };
    site.log.put(Topic::Jobs, Jobs::encodeRecord(claim).front());
}

static Jobs::ProgressRecord ended(const std::string &id)
{
    Jobs::ProgressRecord record;
    record.id = Jobs::JobId(id);
    record.progress.state = Jobs::JobState::Completed;
    record.progress.endedUnixMs = 1;
    return record;
}

static void appendSubmission(SiteFixture &site, const std::string &id)
{
    site.log.put(Topic::Jobs, Jobs::encodeRecord(job(id)).front());
}

TEST_CASE("A former owner's job table equals the log")
{
    SiteFixture site;
    site.log.put(Topic::Workers, { "w1", "a" });
    TestNode &first = site.addNode("one#1");
    site.startElection(first);
    site.run(600);
    REQUIRE(first.state.owner);
    const auto hasProgress
        = [&site] { return site.tableOfLog().find(Jobs::JobId("a"))->progress.has_value(); };

    SECTION("if its last append was never answered")
    {
        // Behind a heartbeat, so that the append without an answer is that of the progress.
        const int appends = site.log.appends;
        REQUIRE(site.runUntil([&site, appends] { return site.log.appends > appends; }));
        site.run(20);
        site.log.losesAnswers = true;
        appendSubmission(site, "a");
        REQUIRE(site.runUntil(hasProgress));
        appendClaim(site, "three#1");
        REQUIRE(site.runUntil([&first] { return !first.state.owner; }));
        CHECK(first.state.table == site.tableOfLog());
    }
    SECTION("if an answer arrives after the records of the next owner")
    {
        site.log.answerMs = 400;
        appendSubmission(site, "a");
        REQUIRE(site.runUntil(hasProgress));
        appendClaim(site, "three#1");
        site.log.put(Topic::Jobs, Jobs::encodeRecord(ended("a")).front());
        site.run(800);
        REQUIRE_FALSE(first.state.owner);
        CHECK(first.state.table.find(Jobs::JobId("a"))->state() == Jobs::JobState::Completed);
        CHECK(first.state.table == site.tableOfLog());
    }
    SECTION("if the next owner's claim and the records after it expired before they were read")
    {
        appendSubmission(site, "a");
        site.run(300);
        appendClaim(site, "three#1");
        site.log.put(Topic::Jobs, Jobs::encodeRecord(ended("a")).front());
        for (const Jobs::StoredRecord &drop :
             Jobs::encodeRecord(Jobs::JobDeletion { Jobs::JobId("a") }))
            site.log.put(Topic::Jobs, drop);
        site.log.compact(Topic::Jobs);
        site.run(1000);
        REQUIRE_FALSE(first.state.owner);
        CHECK(first.state.table == site.tableOfLog());
    }
    site.context.stop();
}

TEST_CASE("The owner's job table equals the log")
{
    SiteFixture site;
    site.scheduler.retention = milliseconds(500);
    site.log.put(Topic::Workers, { "w1", "a" });
    TestNode &first = site.addNode("one#1");
    site.startElection(first);
    site.run(600);
    REQUIRE(first.state.owner);
    REQUIRE(site.await(first.jobRequests.submit(job("a"), site.deadlineIn(1000)))
            == SubmitOutcome::Accepted);
    site.run(200);
    REQUIRE(first.state.table.find(Jobs::JobId("a"))->state() == Jobs::JobState::Completed);

    SECTION("if a job is submitted again before the append that drops it is answered")
    {
        site.log.answerMs = 200;
        for (int i = 0; i < 100 && site.tableOfLog().find(Jobs::JobId("a")); ++i)
            site.run(10);
        REQUIRE_FALSE(site.tableOfLog().find(Jobs::JobId("a")));
        appendSubmission(site, "a");
        site.run(400);
        CHECK(first.state.table.find(Jobs::JobId("a")));
        CHECK(first.state.table == site.tableOfLog());
    }
    SECTION("if it reads a repeated submission of a job after it has dropped the job")
    {
        site.log.refusesReads = true;
        appendSubmission(site, "a");
        for (int i = 0; i < 100 && site.tableOfLog().find(Jobs::JobId("a")); ++i)
            site.run(10);
        site.log.refusesReads = false;
        site.run(400);
        CHECK_FALSE(first.state.table.find(Jobs::JobId("a")));
        CHECK(site.workers.starts == 2);
        CHECK(first.state.table == site.tableOfLog());
    }
    SECTION("if the records that drop a job expired before they were read")
    {
        site.log.refusesReads = true;
        for (int i = 0; i < 100 && site.tableOfLog().find(Jobs::JobId("a")); ++i)
            site.run(10);
        site.log.compact(Topic::Jobs);
        site.log.refusesReads = false;
        site.run(1000);
        CHECK_FALSE(first.state.table.find(Jobs::JobId("a")));
        CHECK(first.state.table == site.tableOfLog());
    }
    site.context.stop();
}

TEST_CASE(
    "A job that was submitted twice is the same at a node that never read the first submission",
    "[!shouldfail][known-red]")
{
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(50);
    Jobs::Submission submission = job("a");
    for (const std::int64_t askedAt : { 1, 2 }) {
        submission.submittedUnixMs = askedAt;
        site.log.put(Topic::Jobs, Jobs::encodeRecord(submission).front());
    }
    TestNode &late = site.addNode("two#1");
    site.run(500);
    CHECK(late.state.table == node.state.table);
}

TEST_CASE("A progress record that was sent is found only by the value that was sent")
{
    SentProgressCache sent;
    const Jobs::ProgressRecord record = ended("a");
    const Jobs::StoredRecord stored = Jobs::encodeRecord(record).front();
    sent.insert(stored, record);

    SECTION("the record is found once")
    {
        CHECK(sent.take(stored) == record);
        CHECK_FALSE(sent.take(stored));
    }
    SECTION("another value of the key isn't found, and leaves the record in the cache")
    {
        CHECK_FALSE(sent.take({ stored.key, "" }));
        CHECK(sent.take(stored) == record);
    }
    SECTION("a newer value of the key replaces the record")
    {
        Jobs::ProgressRecord newer = record;
        newer.progress.endedUnixMs = 2;
        const Jobs::StoredRecord newerStored = Jobs::encodeRecord(newer).front();
        sent.insert(newerStored, newer);
        CHECK_FALSE(sent.take(stored));
        CHECK(sent.take(newerStored) == newer);
    }
    SECTION("a record beyond the size limit isn't cached")
    {
        const std::string large(SentProgressCache::maxBytes, 'x');
        sent.insert({ "p/b", large }, ended("b"));
        CHECK_FALSE(sent.take({ "p/b", large }));
        CHECK(sent.take(stored) == record);
    }
}
