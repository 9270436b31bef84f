#include "../LibLog/LogPipe.h"
#include "JobApiFixture.h"

#include <LibHttp/Client.h>
#include <LibHttp/Server.h>

#include <algorithm>
#include <optional>

// Calls to the API of a site with customers.

namespace {

const std::string keyedQueue = "/keyed/";
const std::string anonymousQueue = "/open/";
const std::string keyOfA = "secret-of-a";
const std::string keyOfB = "secret-of-b";
const std::vector<std::string> noHeader;
const std::vector<std::string> asA = { "Bearer " + keyOfA };
const std::vector<std::string> asB = { "Bearer " + keyOfB };
const std::vector<std::string> asUnknown = { "Bearer nobody" };

SiteSettings settingsWith(int revokeMs, bool isStrict)
{
    SiteSettings settings;
    settings.nodeName = "one#1";
    settings.revocationTime = milliseconds(revokeMs);
    settings.isRevocationStrict = isStrict;
    return settings;
}

/// A node whose site has the customers `a` and `b`, a queue that needs a key and one that doesn't.
struct CustomerSite : JobApiFixture
{
    explicit CustomerSite(int revokeMs = 5000, bool isStrict = false)
        : JobApiFixture(settingsWith(revokeMs, isStrict))
    {
        publishCustomers(1, { { "a", keyOfA }, { "b", keyOfB } });
        run(100);
    }

    void publishCustomers(int version,
                          const std::vector<std::pair<std::string, std::string>> &customers)
    {
        Json::Value catalogue = makeCatalogue(version, { keyedQueue, anonymousQueue });
        for (Json::Value &route : catalogue["routes"])
            route["host"] = host;
        catalogue["routes"][1]["keyless"] = true;
        catalogue["tenants"] = Json::Value(Json::arrayValue);
        for (const auto &[name, key] : customers) {
            Json::Value &tenant = catalogue["tenants"].append(Json::Value(Json::objectValue));
            tenant["name"] = name;
            tenant["apiKeys"].append(key);
            tenant["weight"] = 1;
            tenant["priority"] = 3;
        }
        publish(catalogue);
    }
    Http::ServerResponse find(const std::vector<std::string> &authorizations,
                              const std::string &queue = keyedQueue)
    {
        return call(http::verb::get, queue + jobId, "", authorizations);
    }
    Http::ServerResponse cancel(const std::vector<std::string> &authorizations,
                                const std::string &queue = keyedQueue)
    {
        return call(http::verb::delete_, queue + jobId, "", authorizations);
    }
    Http::ServerResponse count(const std::vector<std::string> &authorizations,
                               const std::string &queue = keyedQueue)
    {
        return call(http::verb::get, queue, "", authorizations);
    }
    /// The host of the queues.
    std::string host = "h.example";

    std::size_t jobRecords() { return log.history(Topic::Jobs).size(); }
};

bool containsKey(const std::string &text)
{
    return text.find("secret-of") != std::string::npos;
}

/// Calls the API over one connection.
struct Connection
{
    explicit Connection(CustomerSite &fixture)
        : site(fixture)
        , endpoint { "127.0.0.1", freePort(fixture.context) }
        , server("callers", endpoint, fixture.handler, fixture.context.get_executor())
        , client(fixture.context.get_executor(), endpoint)
    {
        asio::co_spawn(site.context, server.run(), asio::detached);
        site.run(20);
    }

    static std::uint16_t freePort(asio::io_context &context)
    {
        const asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
        return acceptor.local_endpoint().port();
    }
    /// The host that the client names in its requests.
    std::string host() const { return endpoint.address + ':' + std::to_string(endpoint.port); }
    Http::Answer find(const std::string &authorization)
    {
        Http::Request request;
        request.step = "find";
        request.target = keyedQueue + jobId;
        request.fields = { { "Authorization", authorization } };
        return site.await(client.exchange(std::move(request), site.deadlineIn(2000)));
    }

    CustomerSite &site;
    Http::Endpoint endpoint;
    Http::Server server;
    Http::Client client;
};

} // namespace

// Guards against a call without a customer's key that is answered, stores something, or gets a
// 401 without the challenge that HTTP demands.
TEST_CASE("A queue of customers answers calls with a customer's key only")
{
    CustomerSite site;
    REQUIRE(site.submit(keyedQueue, asA).result_int() == 200);
    CHECK(site.find(asA).result_int() == 200);
    CHECK(site.count(asA).result_int() == 200);
    const std::size_t records = site.jobRecords();

    const std::vector<std::vector<std::string>> refused {
        noHeader,
        asUnknown,
        { "" },
        { "Bearer" },
        { "Bearer " },
        { "Bearer  " },
        { keyOfA },
        { "Basic " + keyOfA },
        { "Bearer" + keyOfA },
        { "Bearer " + keyOfA + " x" },
        { "Bearer SECRET-OF-A" },
        { "Bearer " + keyOfA, "Bearer " + keyOfA },
    };
    for (const std::vector<std::string> &authorizations : refused) {
        CAPTURE(authorizations);
        for (const Http::ServerResponse &response :
             { site.submit(keyedQueue, authorizations), site.find(authorizations),
               site.cancel(authorizations), site.count(authorizations) }) {
            CHECK(response.result_int() == 401);
            CHECK(response[http::field::www_authenticate] == "Bearer");
            CHECK_FALSE(containsKey(response.body()));
        }
    }
    CHECK(site.jobRecords() == records);
    for (const char *scheme : { "bearer ", "BEARER ", "Bearer   " })
        CHECK(site.find({ scheme + keyOfA }).result_int() == 200);
    CHECK(site.cancel(asA).result_int() == 200);
}

// Guards against an answer 401 that hides a wrong path.
TEST_CASE("A path without a queue gets 404, with and without a key")
{
    CustomerSite site;
    CHECK(site.count(noHeader, "/none/").result_int() == 404);
    CHECK(site.count(asA, "/none/").result_int() == 404);
}

// Guards against a customer that reads, cancels or takes over another's job through the API.
TEST_CASE("Another customer's job is answered like one that doesn't exist")
{
    CustomerSite site;
    REQUIRE(site.submit(keyedQueue, asA).result_int() == 200);
    const std::size_t records = site.jobRecords();
    CHECK(site.find(asB).result_int() == 410);
    CHECK(site.cancel(asB).result_int() == 410);
    CHECK(site.submit(keyedQueue, asB).result_int() == 409);
    SECTION("and it isn't seen through a queue without keys, either")
    {
        for (const std::vector<std::string> &key : { noHeader, asA, asB }) {
            CHECK(site.find(key, anonymousQueue).result_int() == 410);
            CHECK(site.cancel(key, anonymousQueue).result_int() == 410);
            CHECK(site.submit(anonymousQueue, key).result_int() == 409);
        }
    }
    CHECK(site.jobRecords() == records);
    CHECK(site.submit(keyedQueue, asA).result_int() == 200);
    CHECK(site.find(asA).result_int() == 200);
}

// Guards against a queue without keys that refuses a key, or whose jobs only one caller sees.
TEST_CASE("A queue that allows anonymous calls ignores the header")
{
    CustomerSite site;
    REQUIRE(site.submit(anonymousQueue, asA).result_int() == 200);
    for (const std::vector<std::string> &key : { noHeader, asUnknown, asB }) {
        CHECK(site.find(key, anonymousQueue).result_int() == 200);
        CHECK(site.submit(anonymousQueue, key).result_int() == 200);
        CHECK(site.count(key, anonymousQueue).result_int() == 200);
    }
    CHECK(site.node.state.table.customerOf(Jobs::JobId(jobId)).isEmpty());
    CHECK(site.find(asB).result_int() == 200);
    CHECK(site.cancel(noHeader, anonymousQueue).result_int() == 200);
}

// Guards against a site without customers that is served otherwise than before, and against one
// that is open to all because its list of customers is empty.
TEST_CASE("Keys are needed if the catalogue lists customers, even if it lists none")
{
    CustomerSite site;
    site.publish(2, { keyedQueue });
    site.run(100);
    CHECK(site.submit(keyedQueue, noHeader).result_int() == 200);
    CHECK(site.find(asUnknown).result_int() == 200);
    site.publishCustomers(3, {});
    site.run(100);
    CHECK(site.find(asA).result_int() == 401);
    CHECK(site.find(noHeader).result_int() == 401);
}

// Guards against a key that is checked once for each connection only.
TEST_CASE("A version of the catalogue counts for the next request of an open connection")
{
    CustomerSite site;
    REQUIRE(site.submit(keyedQueue, asA).result_int() == 200);
    Connection connection(site);
    site.host = connection.host();
    site.publishCustomers(2, { { "a", keyOfA } });
    site.run(100);
    const Http::Answer before = connection.find(asA.front());
    REQUIRE(before.status == 200);
    REQUIRE(connection.find("Bearer new-key").status == 401);

    site.publishCustomers(3, { { "a", "new-key" } });
    site.run(100);
    const Http::Answer after = connection.find(asA.front());
    CHECK(after.status == 401);
    CHECK(after.connection == before.connection);
    CHECK(connection.find("Bearer new-key").status == 200);
}

// Guards against a key that a suspended VM goes on accepting, and one that it refuses for good
// although a version that it hasn't read has added it.
TEST_CASE("A node that was suspended reads the catalogue before it decides on a key")
{
    CustomerSite site;
    REQUIRE(site.submit(keyedQueue, asA).result_int() == 200);
    site.publishCustomers(2, { { "a", "new-key" } });
    site.log.readAnswerMs = 200;
    site.suspendVm(2000);
    SECTION("one that was taken away")
    {
        CHECK(site.find(asA).result_int() == 401);
    }
    SECTION("one that was added")
    {
        CHECK(site.find({ "Bearer new-key" }).result_int() == 200);
    }
}

// Guards against a key that may have been taken away and works as long as the store is lost.
TEST_CASE("A node without the store answers by an old catalogue for a limited time")
{
    SECTION("up to revoke-ms for a key that it knows, on known jobs")
    {
        CustomerSite site(3000, false);
        REQUIRE(site.submit(keyedQueue, asA).result_int() == 200);
        REQUIRE(site.find(asA).result_int() == 200);
        site.log.isDown = true;
        site.run(2200);
        CHECK(site.find(asA).result_int() == 200);
        CHECK(site.submit(keyedQueue, asA).result_int() == 200);
        CHECK(site.find(asB).result_int() == 410);
        CHECK(site.count(asA).result_int() == 503);
        for (const std::vector<std::string> &key : { noHeader, asUnknown }) {
            const Http::ServerResponse response = site.find(key);
            CHECK(response.result_int() == 503);
            CHECK(response[http::field::retry_after] == "1");
            CHECK(site.cancel(key).result_int() == 503);
            CHECK(site.submit(keyedQueue, key).result_int() == 503);
        }
        site.run(1200);
        CHECK(site.find(asA).result_int() == 503);
        CHECK(site.cancel(asA).result_int() == 503);
        // 503 would say that the job isn't stored. Nobody else learns that it is.
        CHECK(site.submit(keyedQueue, asA).result_int() == 504);
        CHECK(site.submit(keyedQueue, asB).result_int() == 503);

        site.log.isDown = false;
        site.run(800);
        CHECK(site.find(asA).result_int() == 200);
        CHECK(site.find(asUnknown).result_int() == 401);
    }
    SECTION("not beyond 1.6 s if strict-revoke is true")
    {
        CustomerSite site(3000, true);
        REQUIRE(site.submit(keyedQueue, asA).result_int() == 200);
        site.log.isDown = true;
        site.run(2200);
        CHECK(site.find(asA).result_int() == 503);
        CHECK(site.cancel(asA).result_int() == 503);
        CHECK(site.submit(keyedQueue, asA).result_int() == 503);
    }
}

// Guards against a key in a line of the log or in a metric, and against requests of customers that
// can't be told apart there.
TEST_CASE("Log lines and metrics name the customer and no key")
{
    LogPipe pipe({ 1e6, 1000, 100 });
    CustomerSite site;
    site.submit(keyedQueue, asA);
    site.submit(keyedQueue, asB);
    site.find(asB);
    site.cancel(asB);
    site.count(asA);
    site.find(asUnknown);
    site.find({ "Basic " + keyOfA });
    const std::vector<std::string> lines = pipe.takeLines();
    const auto contains = [&lines](const std::string &text) {
        return std::any_of(lines.begin(), lines.end(), [&text](const std::string &line) {
            return line.find(text) != std::string::npos;
        });
    };
    CHECK_FALSE(contains("secret-of"));
    CHECK_FALSE(contains("nobody"));
    CHECK(contains("requests: event=submit job=" + jobId + " queue=/keyed/ customer=a"));
    CHECK(contains("requests: event=submit job=" + jobId + " customer=b outcome=conflict"));
    CHECK(contains("requests: event=find job=" + jobId + " customer=b outcome=other-customer"));
    CHECK(contains("requests: event=cancel job=" + jobId + " customer=b outcome=other-customer"));
    CHECK(contains("event=refused request=submit path=/keyed/" + jobId + " customer=b status=409"));
    CHECK(contains("event=refused request=find path=/keyed/" + jobId + " status=401"));

    const std::string metrics = site.node.state.metrics.text();
    CHECK_FALSE(containsKey(metrics));
    const auto counts = [&metrics](const std::string &line) {
        return metrics.find("lagoonford_customer_requests_total" + line + '\n')
            != std::string::npos;
    };
    CHECK(counts(R"({customer="a",status="2xx"} 2)"));
    CHECK(counts(R"({customer="b",status="4xx"} 3)"));
}

// Guards against series without bound.
TEST_CASE("Requests of more than 512 customers are counted under 512 names and other")
{
    constexpr int customers = 600;
    constexpr int maxNames = 512;
    SiteMetrics metrics;
    for (int i = 0; i < customers; ++i)
        metrics.countCustomerRequest("c" + std::to_string(i), 200);
    const std::string text = metrics.text();
    int series = 0;
    const std::string name = "lagoonford_customer_requests_total{";
    for (std::size_t at = text.find(name); at != std::string::npos; at = text.find(name, at + 1))
        ++series;
    CHECK(series == maxNames + 1);
    CHECK(text.find(R"({customer="other",status="2xx"} 88)") != std::string::npos);
}
