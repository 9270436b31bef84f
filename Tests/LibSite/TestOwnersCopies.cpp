#include "SiteFixture.h"

TEST_CASE("The owner starts nothing from records that are older than what it writes")
{
    SiteFixture site;
    site.log.put(Topic::Workers, { "w1", "a" });
    site.log.put(Topic::Workers, { "w2", "b" });
    TestNode &node = site.addNode("one#1");
    site.own(node);
    site.run(600);
    REQUIRE(node.state.owner);

    SECTION("nothing starts in a domain that was taken out while its records can't be read")
    {
        site.log.unreadable = Topic::Operators;
        for (const char *domain : { "out/a", "out/b" })
            site.log.put(Topic::Operators, { domain, "1" });
        site.run(3800);
        site.await(node.desk.submit(job("a"), site.in(1000)));
        site.run(700);
        CHECK(site.workers.starts == 0);

        SECTION("once they can be, what waited starts where it may")
        {
            site.log.put(Topic::Operators, { "out/a", "" });
            site.log.unreadable.reset();
            site.run(1000);
            CHECK(site.workers.starts == 2);
            CHECK(site.workers.ends[Core::VmId("w2")].empty());
        }
    }
    SECTION(
        "nothing starts on workers that have announced their leaving, though that can't be read")
    {
        site.log.unreadable = Topic::Workers;
        site.log.put(Topic::Workers, { "w1", "a!" });
        site.log.put(Topic::Workers, { "w2", "b!" });
        site.run(1900);
        site.await(node.desk.submit(job("a"), site.in(1000)));
        site.run(700);
        CHECK(site.workers.starts == 0);

        SECTION("once it can be, what waited starts where it may")
        {
            site.log.put(Topic::Workers, { "w2", "b" });
            site.log.unreadable.reset();
            site.run(1000);
            CHECK(site.workers.starts == 2);
            CHECK(site.workers.ends[Core::VmId("w1")].empty());
        }
    }
    SECTION("nothing of a job starts seconds after its cancellation, though that can't be read")
    {
        site.workers.isHolding = true;
        Jobs::Submission submission = job("a");
        // Four fit at a time.
        submission.spec.steps.front().taskCount = 6;
        submission.spec.steps.front().need.milliCores = 2000;
        site.await(node.desk.submit(submission, site.in(1000)));
        site.run(700);
        REQUIRE(site.workers.starts == 4);
        site.log.unreadable = Topic::Jobs;
        site.log.put(Topic::Jobs, Jobs::encodeRecord(Jobs::Cancellation { submission.id }).front());
        site.run(3000);
        site.workers.finishAll();
        site.run(900);
        CHECK(site.workers.starts == 4);
    }
    SECTION("while the store is lost for all, tasks of a recorded job go on starting")
    {
        site.workers.isHolding = true;
        Jobs::Submission submission = job("a");
        // Four fit at a time.
        submission.spec.steps.front().taskCount = 6;
        submission.spec.steps.front().need.milliCores = 2000;
        site.await(node.desk.submit(submission, site.in(1000)));
        site.run(700);
        REQUIRE(site.workers.starts == 4);
        site.log.isDown = true;
        site.run(2700);
        site.workers.finishAll();
        site.run(900);
        CHECK(site.workers.starts == 6);
    }
    site.context.stop();
}
