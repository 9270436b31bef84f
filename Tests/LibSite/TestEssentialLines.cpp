#include "../LibLog/LogPipe.h"
#include "SiteFixture.h"

static int countLines(const std::vector<std::string> &lines, const std::string &beginning)
{
    int count = 0;
    for (const std::string &line : lines)
        count += line.starts_with(beginning) ? 1 : 0;
    return count;
}

TEST_CASE("A change of the owner is logged on both nodes however many decisions are logged")
{
    // Uses up the line budget for decisions, which isn't refilled while the test runs.
    LogPipe pipe({ 1e-6, 110, 100 });
    for (int i = 0; i < 20; ++i)
        LOG4CXX_INFO(Log::logger("owner"), "event=start task=" << i);
    pipe.takeLines();
    SiteFixture site;
    site.log.put(Topic::Workers, { "w1", "a" });
    TestNode &first = site.addNode("one#1");
    TestNode &second = site.addNode("two#1");

    SECTION("by the node that claims the jobs and by the node that reads the claim")
    {
        site.startElection(first);
        site.run(600);
        const std::vector<std::string> lines = pipe.takeLines();
        CHECK(countLines(lines, "INFO  owner: event=claim term=0 won=1") == 1);
        CHECK(countLines(lines, "INFO  owner: event=own term=0") == 1);
        CHECK(countLines(lines, "INFO  jobs: event=claim-seen owner=one#1 term=0") == 2);

        SECTION("and by the node that releases the jobs")
        {
            site.startElection(second);
            first.state.isLeaving = true;
            first.election.stepDown();
            site.run(1000);
            const std::vector<std::string> after = pipe.takeLines();
            CHECK(countLines(after, "INFO  owner: event=release term=0 written=1") == 1);
            CHECK(countLines(after, "WARN  owner: event=deposed term=0") == 1);
            CHECK(countLines(after, "INFO  owner: event=own term=1") == 1);
        }
    }
    SECTION("and so are the loss and the recovery of the store")
    {
        site.run(100);
        site.log.isDown = true;
        site.run(1500);
        CHECK(countLines(pipe.takeLines(), "WARN  jobs: event=lost dependency=store") == 2);
        site.log.isDown = false;
        site.run(1000);
        CHECK(countLines(pipe.takeLines(), "INFO  jobs: event=regained dependency=store") == 2);
    }
    SECTION("and so is the crash of a worker, with the runs that may be its cause")
    {
        site.workers.holdsTasks = true;
        site.startElection(first);
        site.run(600);
        site.await(second.jobRequests.submit(job("a"), site.deadlineIn(1000)));
        site.run(100);
        REQUIRE(site.workers.starts == 2);
        for (const auto &[worker, runs] : site.workers.running) {
            if (!runs.empty())
                site.workers.replaced.insert(worker);
        }
        pipe.takeLines();
        site.run(300);
        CHECK(countLines(pipe.takeLines(),
                         "INFO  owner: event=worker-crashed worker=w1 evidence=replaced runs=2 "
                         "suspects=a.0.0.0,a.0.0.1")
              == 1);
    }
    SECTION("while starts of tasks aren't logged any more")
    {
        site.startElection(first);
        site.run(600);
        site.await(second.jobRequests.submit(job("a"), site.deadlineIn(1000)));
        site.run(700);
        REQUIRE(site.workers.starts == 2);
        const std::vector<std::string> lines = pipe.takeLines();
        CHECK(countLines(lines, "INFO  owner: event=start") == 0);
        CHECK(countLines(lines, "INFO  owner: event=load") == 0);
        CHECK(countLines(lines, "INFO  requests: event=submit") == 0);
    }
    site.context.stop();
}

TEST_CASE("The recovery of the store is logged, too, if a write is the first to notice it")
{
    LogPipe pipe({ 1e-6, 200, 100 });
    SiteFixture site;
    TestNode &node = site.addNode("one#1");
    site.run(50);
    int lost = 0;
    int regained = 0;
    for (int i = 0; i < 5; ++i) {
        site.log.isDown = true;
        asio::co_spawn(site.context,
                       node.jobRequests.submit(job(std::to_string(i)), site.deadlineIn(5000)),
                       asio::detached);
        for (int j = 0; j < 200 && node.state.health.isReachable(); ++j)
            site.run(5);
        site.log.isDown = false;
        site.run(600);
        for (const std::string &line : pipe.takeLines()) {
            lost += line.find("event=lost dependency=store") != std::string::npos ? 1 : 0;
            regained += line.find("event=regained dependency=store") != std::string::npos ? 1 : 0;
        }
    }
    CHECK(lost == 5);
    CHECK(regained == 5);
}
