#include "SiteFixture.h"

TEST_CASE("Any node accepts jobs, and accepted jobs are in the store")
{
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    TestNode &other = site.addNode("two#1");
    site.run(50);

    SECTION("another node finds a job at the first request for it")
    {
        CHECK(site.await(node.jobRequests.submit(job("a"), site.deadlineIn(1000)))
              == SubmitOutcome::Accepted);
        const JobLookup lookup
            = site.await(other.jobRequests.find(Jobs::JobId("a"), site.deadlineIn(1000)));
        CHECK(lookup == JobLookup { FindOutcome::Found, Jobs::JobState::Queued });
        CHECK(site.countWaiting(other) == WaitingCount { CountOutcome::Counted, 1 });
    }
    SECTION("a repeated submission at another node writes nothing once that node knows the job")
    {
        site.await(node.jobRequests.submit(job("a"), site.deadlineIn(1000)));
        site.await(other.jobRequests.find(Jobs::JobId("a"), site.deadlineIn(1000)));
        const int appends = site.log.appends;
        CHECK(site.await(other.jobRequests.submit(job("a"), site.deadlineIn(1000)))
              == SubmitOutcome::Accepted);
        CHECK(site.log.appends == appends);
    }
    SECTION("concurrent submissions share an append")
    {
        const int appends = site.log.appends;
        int accepted = 0;
        for (int i = 0; i < 20; ++i)
            asio::co_spawn(
                site.context,
                node.jobRequests.submit(job("j" + std::to_string(i)), site.deadlineIn(1000)),
                [&](const std::exception_ptr &, SubmitOutcome outcome) {
                    accepted += outcome == SubmitOutcome::Accepted ? 1 : 0;
                });
        site.run(100);
        CHECK(accepted == 20);
        CHECK(site.log.appends - appends <= 3);
    }
    SECTION("a job is reported as unknown only after a read of the store")
    {
        const JobLookup none
            = site.await(node.jobRequests.find(Jobs::JobId("x"), site.deadlineIn(1000)));
        CHECK(none.outcome == FindOutcome::NoSuchJob);
        site.log.isDown = true;
        const JobLookup lost
            = site.await(node.jobRequests.find(Jobs::JobId("x"), site.deadlineIn(1000)));
        CHECK(lost.outcome == FindOutcome::Unavailable);
    }
    SECTION("while the store refuses appends, a job is refused and never runs")
    {
        site.log.isDown = true;
        CHECK(site.await(node.jobRequests.submit(job("a"), site.deadlineIn(600)))
              == SubmitOutcome::Refused);
        site.log.isDown = false;
        site.run(300);
        CHECK(node.state.table.find(Jobs::JobId("a")) == nullptr);
    }
    SECTION("once the store is known to be unreachable, a job is refused at once")
    {
        site.log.isDown = true;
        site.run(1500);
        const Core::Instant began = Core::steadyNow();
        CHECK(site.await(node.jobRequests.submit(job("a"), site.deadlineIn(3000)))
              == SubmitOutcome::Refused);
        CHECK(Core::steadyNow() - began < milliseconds(50));
    }
    SECTION("a job whose append wasn't answered is neither accepted nor refused")
    {
        site.log.losesAnswers = true;
        CHECK(site.await(node.jobRequests.submit(job("a"), site.deadlineIn(600)))
              == SubmitOutcome::Unknown);
    }
    SECTION("a cancelled job stays cancelled at every node")
    {
        site.await(node.jobRequests.submit(job("a"), site.deadlineIn(1000)));
        CHECK(site.await(other.jobRequests.cancel(Jobs::JobId("a"), site.deadlineIn(1000)))
              == CancelOutcome::Cancelled);
        const JobLookup lookup
            = site.await(node.jobRequests.find(Jobs::JobId("a"), site.deadlineIn(1000)));
        CHECK(lookup.state == Jobs::JobState::Cancelled);
        CHECK(site.await(node.jobRequests.cancel(Jobs::JobId("x"), site.deadlineIn(1000)))
              == CancelOutcome::NoSuchJob);
    }
}

TEST_CASE("A node reads a new snapshot if the records after its offset have expired")
{
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(50);
    for (const char *id : { "a", "b", "c" })
        CHECK(site.await(node.jobRequests.submit(job(id), site.deadlineIn(1000)))
              == SubmitOutcome::Accepted);
    site.log.compact(Topic::Jobs);
    TestNode &late = site.addNode("two#1");
    site.run(100);
    CHECK(late.state.table.jobs().size() == 3);
    site.await(node.jobRequests.submit(job("d"), site.deadlineIn(1000)));
    site.log.compact(Topic::Jobs);
    site.run(900);
    CHECK(late.state.table.jobs().size() == 4);
}

TEST_CASE("An older catalogue never replaces a newer one")
{
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    site.log.put(Topic::Operators, { "config", "7" });
    site.run(100);
    REQUIRE(node.state.catalogue);
    CHECK(node.state.catalogue->version == 7);
    site.log.put(Topic::Operators, { "config", "5" });
    site.run(100);
    CHECK(node.state.catalogue->version == 7);
}

TEST_CASE("An owner starts tasks elsewhere once their worker's address answers as another one")
{
    SiteFixture site;
    site.workers.holdsTasks = true;
    site.log.put(Topic::Workers, { "w1", "a" });
    site.log.put(Topic::Workers, { "w2", "a" });
    TestNode &node = site.addNode("one#1");
    site.startElection(node);
    site.run(600);
    site.await(node.jobRequests.submit(job("a"), site.deadlineIn(1000)));
    site.run(300);
    REQUIRE(site.workers.starts == 2);
    // Best fit puts both tasks on one worker.
    const Core::VmId first("w1");
    const Core::VmId second("w2");
    const bool isOnFirst = !site.workers.running[first].empty();
    const Core::VmId &replaced = isOnFirst ? first : second;
    const Core::VmId &other = isOnFirst ? second : first;
    REQUIRE(site.workers.running[other].empty());

    site.workers.replaced.insert(replaced);
    site.run(500);
    CHECK(site.workers.running[other].size() == 2);
}

TEST_CASE("One node owns the jobs and runs them")
{
    SiteFixture site;
    site.log.put(Topic::Workers, { "w1", "a" });
    site.log.put(Topic::Workers, { "w2", "b" });
    TestNode &first = site.addNode("one#1");
    TestNode &second = site.addNode("two#1");
    site.startElection(first);
    site.run(600);
    REQUIRE(first.state.owner);

    SECTION("a job submitted at another node completes, and each of its tasks starts once")
    {
        site.await(second.jobRequests.submit(job("a"), site.deadlineIn(1000)));
        site.run(700);
        CHECK(first.state.table.find(Jobs::JobId("a"))->state() == Jobs::JobState::Completed);
        const JobLookup lookup
            = site.await(second.jobRequests.find(Jobs::JobId("a"), site.deadlineIn(1000)));
        CHECK(lookup.state == Jobs::JobState::Completed);
        CHECK(site.workers.starts == 2);
    }
    SECTION("another node owns the jobs within a second after the owner steps down")
    {
        site.startElection(second);
        site.run(200);
        CHECK_FALSE(second.state.owner);
        first.state.isLeaving = true;
        first.election.stepDown();
        site.run(1000);
        CHECK_FALSE(first.state.owner);
        CHECK(second.state.owner);
    }
    SECTION("an owner that can't write remains the owner until a newer claim deposes it")
    {
        site.log.isDown = true;
        site.run(800);
        CHECK(first.state.owner);
        site.log.isDown = false;
        const Jobs::OwnerClaim claim { "three#1", 9, false };
        site.log.put(Topic::Jobs, Jobs::encodeRecord(claim).front());
        site.run(700);
        CHECK_FALSE(first.state.owner);
    }
    site.context.stop();
}
