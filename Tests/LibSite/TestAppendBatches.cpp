#include "SiteFixture.h"

#include <LibSite/AppendBatches.h>

static constexpr int jobCount = 80;

/// A job whose progress record takes 4 KB once its first task has begun.
static Jobs::Submission jobOfManyTasks(const std::string &id)
{
    Jobs::Submission submission = job(id);
    submission.spec.steps.front().taskCount = 1;
    Jobs::StepSpec step = submission.spec.steps.front();
    step.taskCount = 4000;
    step.after = { 0 };
    submission.spec.steps.push_back(step);
    return submission;
}

/// The first tasks of all these jobs fit on the workers at the same time.
static void putManyJobs(SiteFixture &site)
{
    for (const char *worker : { "w1", "w2", "w3" })
        site.log.put(Topic::Workers, { worker, "a" });
    for (int i = 0; i < jobCount; ++i) {
        const Jobs::Submission submission = jobOfManyTasks("j" + std::to_string(i));
        site.log.put(Topic::Jobs, Jobs::encodeRecord(submission).front());
    }
}

static int jobsWithProgress(SiteFixture &site)
{
    int count = 0;
    const Jobs::JobTable table = site.tableOfLog();
    for (const auto &[id, entry] : table.jobs())
        count += entry.progress ? 1 : 0;
    return count;
}

TEST_CASE("An owner splits a large commit, so that every append makes progress")
{
    SiteFixture site;
    putManyJobs(site);

    SECTION("if the store rejects appends of the size of the commit")
    {
        site.log.maxBytesPerCall = 200000;
    }
    SECTION("if the commit can't be transferred within the time limit of one append")
    {
        site.log.bytesPerMs = 250;
    }
    TestNode &node = site.addNode("one#1");
    site.startElection(node);
    const auto isDone
        = [&] { return jobsWithProgress(site) == jobCount && site.workers.starts >= jobCount; };
    for (int i = 0; i < 60 && !isDone(); ++i)
        site.run(100);
    CHECK(jobsWithProgress(site) == jobCount);
    CHECK(node.state.owner);
    CHECK(site.workers.starts >= jobCount);
    site.context.stop();
}

TEST_CASE(
    "An owner that is fenced off between two appends of a commit writes and starts nothing else")
{
    SiteFixture site;
    putManyJobs(site);
    site.log.bytesPerMs = 250;
    TestNode &node = site.addNode("one#1");
    site.startElection(node);
    for (int i = 0; i < 60 && jobsWithProgress(site) == 0; ++i)
        site.run(20);
    const int written = jobsWithProgress(site);
    REQUIRE(written > 0);
    REQUIRE(written < jobCount);
    const FencedWriter newer { 1000000, 0 };
    site.await(site.log.appendFenced({}, newer, site.deadlineIn(1000)));
    site.run(1000);

    CHECK_FALSE(node.state.owner);
    CHECK(jobsWithProgress(site) == written);
    CHECK(site.workers.starts == 0);
    CHECK(node.state.table == site.tableOfLog());
    site.context.stop();
}

TEST_CASE("Concurrent submissions are accepted though one append can't carry them in time")
{
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(50);
    site.log.bytesPerMs = 400;
    int accepted = 0;
    for (int i = 0; i < 100; ++i) {
        Jobs::Submission submission = job("j" + std::to_string(i));
        submission.spec.payload.assign(4000, 'x');
        asio::co_spawn(site.context, node.jobRequests.submit(submission, site.deadlineIn(3000)),
                       [&](const std::exception_ptr &, SubmitOutcome outcome) {
                           accepted += outcome == SubmitOutcome::Accepted ? 1 : 0;
                       });
    }
    site.run(2500);
    CHECK(accepted == 100);
}

TEST_CASE("A job whose progress exceeds the record size fails, and other jobs are still written")
{
    SiteFixture site;
    site.log.put(Topic::Workers, { "w1", "a" });
    Jobs::Submission large = job("large");
    Jobs::StepSpec step = large.spec.steps.front();
    step.taskCount = 10000;
    step.after = { 0 };
    large.spec.steps.insert(large.spec.steps.end(), 27, step);
    site.log.put(Topic::Jobs, Jobs::encodeRecord(large).front());
    TestNode &node = site.addNode("one#1");
    site.startElection(node);
    site.run(600);
    REQUIRE(node.state.owner);
    REQUIRE(site.await(node.jobRequests.submit(job("small"), site.deadlineIn(1000)))
            == SubmitOutcome::Accepted);
    site.run(1000);

    const Jobs::JobTable table = site.tableOfLog();
    CHECK(table.find(Jobs::JobId("small"))->state() == Jobs::JobState::Completed);
    CHECK(table.find(Jobs::JobId("large"))->state() == Jobs::JobState::Failed);
    CHECK(node.state.table == table);
    CHECK(site.workers.starts == 2);
    site.context.stop();
}

TEST_CASE("A submission that exceeds the record size is refused at once and delays no other one")
{
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(50);
    Jobs::Submission large = job("large");
    large.spec.payload.assign(300000, 'x');
    const Core::Instant began = Core::steadyNow();
    CHECK(site.await(node.jobRequests.submit(large, site.deadlineIn(3000)))
          == SubmitOutcome::Refused);
    CHECK(Core::steadyNow() - began < milliseconds(300));
    CHECK(site.await(node.jobRequests.submit(job("small"), site.deadlineIn(300)))
          == SubmitOutcome::Accepted);
}

TEST_CASE("Records are split into appends of bounded size")
{
    AppendBatches batches;
    const auto record = [](std::size_t bytes) {
        return std::vector<Jobs::StoredRecord> { { "k", std::string(bytes - 1, 'x') } };
    };

    SECTION("records share an append up to the last byte of its limit")
    {
        batches.add(record(1024));
        batches.add(record(maxBytesPerAppend - 1024));
        CHECK(batches.batches().size() == 1);
        batches.add(record(2));
        CHECK(batches.batches().size() == 2);
    }
    SECTION("the number of records of an append is bounded, too")
    {
        for (std::size_t i = 0; i <= maxRecordsPerAppend; ++i)
            batches.add(record(2));
        REQUIRE(batches.batches().size() == 2);
        CHECK(batches.batches().front().size() == maxRecordsPerAppend);
    }
    SECTION("the five records of a dropped job stay in one append")
    {
        for (std::size_t i = 0; i + 4 < maxRecordsPerAppend; ++i)
            batches.add(record(2));
        batches.add(Jobs::encodeRecord(Jobs::JobDeletion { Jobs::JobId("a") }));
        REQUIRE(batches.batches().size() == 2);
        CHECK(batches.batches().back().size() == 5);
    }
    SECTION("a record above the limit gets an append of its own, in its place")
    {
        batches.add(record(2));
        batches.add(record(2 * maxBytesPerAppend));
        batches.add(record(2));
        CHECK(batches.batches().size() == 3);
    }
}
