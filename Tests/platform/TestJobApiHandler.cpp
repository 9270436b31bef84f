#include "JobApiFixture.h"

namespace {

const std::string oldQueuePath = "/old/";
const std::string newQueuePath = "/new/";

} // namespace

TEST_CASE("Callers reach the queues in the published catalogue")
{
    JobApiFixture site;

    SECTION("without a catalogue, a node answers 503 with Retry-After")
    {
        site.run(50);
        const Http::ServerResponse response = site.submit(oldQueuePath);
        CHECK(response.result_int() == 503);
        CHECK(response[http::field::retry_after] == "1");
    }
    SECTION("with a catalogue, a node accepts jobs for its queues and no others")
    {
        site.publish(1, { oldQueuePath });
        site.run(100);
        CHECK(site.submit(oldQueuePath).result_int() == 200);
        CHECK(site.call(http::verb::get, oldQueuePath + jobId).result_int() == 200);
        CHECK(site.count(oldQueuePath) == 200);
        CHECK(site.submit(newQueuePath).result_int() == 404);
        CHECK(site.count(newQueuePath) == 404);
    }
}

/// Guards against a 404 for a queue that was published while the node was suspended or couldn't
/// reach the store.
TEST_CASE("A node answers 404 for a queue only from a current catalogue")
{
    JobApiFixture site;
    site.publish(1, { oldQueuePath });
    site.run(100);
    REQUIRE(site.count(newQueuePath) == 404);

    SECTION("the catalogue stays current between regular reads")
    {
        for (int i = 0; i < 30; ++i) {
            site.run(100);
            CHECK(site.node.state.catalogueFreshness.isCurrent(Core::suspendAwareNow()));
        }
    }
    SECTION("after a suspension, a node finds a queue that was added meanwhile")
    {
        site.publish(2, { oldQueuePath, newQueuePath });
        site.log.readAnswerMs = 200;
        site.suspendVm(2000);
        CHECK(site.submit(newQueuePath).result_int() == 200);
    }
    SECTION("after a suspension without a reachable store, a node answers 503")
    {
        site.publish(2, { oldQueuePath, newQueuePath });
        site.log.isDown = true;
        site.suspendVm(2000);
        const Http::ServerResponse response = site.submit(newQueuePath);
        CHECK(response.result_int() == 503);
        CHECK(response[http::field::retry_after] == "1");
        CHECK(response.body().find("not run") != std::string::npos);
    }
    SECTION("while the store refuses calls, a node answers 503; afterwards it finds the queue")
    {
        site.log.isDown = true;
        site.publish(2, { oldQueuePath, newQueuePath });
        site.run(2500);
        CHECK(site.count(newQueuePath) == 503);
        site.log.isDown = false;
        site.run(600);
        CHECK(site.count(newQueuePath) == 200);
    }
    SECTION("concurrent callers share the reads of the store")
    {
        site.log.readAnswerMs = 100;
        site.suspendVm(2000);
        const int reads = site.log.reads;
        int notFound = 0;
        for (int i = 0; i < 20; ++i) {
            Http::ServerRequest request(http::verb::get, newQueuePath, 11);
            request.set(http::field::host, "h.example");
            asio::co_spawn(site.context, site.handler.answer(std::move(request)),
                           [&](const std::exception_ptr &, const Http::ServerResponse &response) {
                               notFound += response.result_int() == 404 ? 1 : 0;
                           });
        }
        for (int i = 0; i < 100 && notFound < 20; ++i)
            site.run(10);
        CHECK(notFound == 20);
        CHECK(site.log.reads - reads <= 3);
    }
}

/// Guards against accepting a job for a queue that was removed while the node was suspended or
/// couldn't read the catalogue.
TEST_CASE("A node accepts jobs for a queue only from a current catalogue")
{
    JobApiFixture site;
    site.publish(1, { oldQueuePath, newQueuePath });
    site.run(100);

    SECTION("after a suspension, a node refuses a job for a queue that was removed meanwhile")
    {
        site.publish(2, { newQueuePath });
        site.log.readAnswerMs = 200;
        site.suspendVm(2000);
        CHECK(site.submit(oldQueuePath).result_int() == 404);
        CHECK(site.node.state.table.jobs().empty());
    }
    SECTION(
        "after a suspension, a node doesn't count the jobs of a queue that was removed meanwhile")
    {
        site.publish(2, { newQueuePath });
        site.log.readAnswerMs = 200;
        site.suspendVm(2000);
        CHECK(site.count(oldQueuePath) == 404);
    }
    SECTION("a node that can write but can't read the operators' records answers 503")
    {
        site.publish(2, { newQueuePath });
        site.log.unreadableTopic = Topic::Operators;
        site.suspendVm(2000);
        site.run(50);
        const Http::ServerResponse response = site.submit(oldQueuePath);
        CHECK(response.result_int() == 503);
        CHECK(response[http::field::retry_after] == "1");
        CHECK(response.body().find("not run") != std::string::npos);
        CHECK(site.node.state.table.jobs().empty());
        CHECK(site.count(oldQueuePath) == 503);
    }
    SECTION("once the store is known to be unreachable, jobs are refused without a delay")
    {
        site.log.isDown = true;
        site.run(2500);
        const Core::Instant startedAt = Core::steadyNow();
        CHECK(site.submit(oldQueuePath).result_int() == 503);
        CHECK(Core::steadyNow() - startedAt < milliseconds(50));
    }
    SECTION("without the store, a node still finds accepted jobs and accepts repeated submissions")
    {
        REQUIRE(site.submit(oldQueuePath).result_int() == 200);
        REQUIRE(site.call(http::verb::get, oldQueuePath + jobId).result_int() == 200);
        site.log.isDown = true;
        site.run(2500);
        CHECK(site.call(http::verb::get, oldQueuePath + jobId).result_int() == 200);
        CHECK(site.submit(oldQueuePath).result_int() == 200);
    }
}
