#include "CallerDoor.h"
#include "PlatformDecoder.h"

#include <LibSite/QueueDesk.h>
#include <LibSite/SiteFixture.h>

#include <boost/beast/http/field.hpp>

namespace http = boost::beast::http;

namespace {

const std::string oldQueue = "/old/";
const std::string newQueue = "/new/";
const std::string jobId = "5c0e7a21d94b36f8";

/// A node of a site with the door that serves callers.
struct DoorFixture : SiteFixture
{
    DoorFixture()
        : node("one#1", context, log, workers, platformDecoder)
        , queues(node.state, node.operators)
        , door(node.state, queues, node.desk)
    {
        asio::co_spawn(context, node.jobs.run(), asio::detached);
        asio::co_spawn(context, node.operators.run(), asio::detached);
    }

    /// Publishes a version whose queues have these prefixes.
    void publish(int version, const std::vector<std::string> &prefixes)
    {
        std::string routes;
        for (const std::string &prefix : prefixes) {
            routes += routes.empty() ? "" : ",";
            routes += R"({"name":"r)" + prefix + R"(","host":"h.example","pathPrefix":")" + prefix
                + R"(","kind":"unsafe","timeoutMs":3000,"sloMs":250,"priority":0,"service":"s",)"
                  R"("maxAttempts":3,"stretch":1.5})";
        }
        const std::string limits = R"({"headerBytes":16384,"bodyBytes":262144,)"
                                   R"("headerTimeoutMs":3000,"idleTimeoutMs":15000})";
        log.put(Topic::Operators,
                { "config",
                  R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes
                      + R"(],"services":[{"name":"s","rejectsOverload":true}],"limits":)" + limits
                      + "}" });
    }
    Http::ServerResponse call(http::verb method, const std::string &target,
                              const std::string &body = "")
    {
        Http::ServerRequest request(method, target, 11);
        request.set(http::field::host, "h.example");
        request.set(http::field::content_type, "application/json");
        request.body() = body;
        return await(door.answer(std::move(request)));
    }
    unsigned count(const std::string &queue) { return call(http::verb::get, queue).result_int(); }
    Http::ServerResponse submit(const std::string &queue)
    {
        return call(http::verb::post, queue + jobId,
                    R"({"spec":"text","steps":[{"count":1,"cpu":500,"memMb":256}]})");
    }

    Adapter::PlatformDecoder platformDecoder;
    TestNode node;
    QueueDesk queues;
    Adapter::CallerDoor door;
};

} // namespace

TEST_CASE("Callers reach the queues that the operators have published")
{
    DoorFixture site;

    SECTION("a node without a catalogue sends them to another one")
    {
        site.run(50);
        const Http::ServerResponse response = site.submit(oldQueue);
        CHECK(response.result_int() == 503);
        CHECK(response[http::field::retry_after] == "1");
    }
    SECTION("with one, it accepts jobs under its queues and knows no others")
    {
        site.publish(1, { oldQueue });
        site.run(100);
        CHECK(site.submit(oldQueue).result_int() == 200);
        CHECK(site.call(http::verb::get, oldQueue + jobId).result_int() == 200);
        CHECK(site.count(oldQueue) == 200);
        CHECK(site.submit(newQueue).result_int() == 404);
        CHECK(site.count(newQueue) == 404);
    }
}
