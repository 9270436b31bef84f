#include "FakePeer.h"

#include <Common/Await.h>
#include <LibCore/Error.h>
#include <LibPeer/RemoteError.h>
#include <LibPeer/TcpPeerClient.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <rapidcheck/catch.h>

using StandIn::amply;
using StandIn::await;
using StandIn::soon;

namespace {

const Core::VmId peer("e2");

/// A client and a fake peer that share one thread.
struct ClientFixture
{
    boost::asio::io_context context;
    FakePeer fake;
    Peer::TcpPeerClient client { context.get_executor() };

    explicit ClientFixture(FakePeer::ResponseScript script)
        : fake(context, std::move(script))
    {
        client.setPeers({ { peer, "127.0.0.1", fake.port() } });
    }

    Json::Value call(const std::string &method, Core::Instant deadline)
    {
        return await(context, client.call(peer, method, {}, deadline));
    }
};

bool isHeartbeat(const Json::Value &request)
{
    return request["method"] == "peer.ping";
}

/// Returns a response whose result is the method's name.
std::string echo(const Json::Value &request)
{
    return responseTo(request, request["method"]);
}

} // namespace

TEST_CASE("A late response isn't assigned to another call")
{
    Json::Value lateRequest;
    ClientFixture fixture([&lateRequest](int, const Json::Value &request) {
        if (isHeartbeat(request))
            return echo(request);
        if (lateRequest.isNull()) {
            lateRequest = request;
            return std::string();
        }
        return responseTo(lateRequest, "late") + echo(request);
    });
    CHECK_THROWS_AS(fixture.call("first", soon()), Core::OutcomeUnknownError);
    CHECK(fixture.call("second", amply()) == "second");
    CHECK(fixture.fake.connectionCount() == 1);
}

TEST_CASE("Concurrent calls get their own responses")
{
    std::string firstResponse;
    ClientFixture fixture([&firstResponse](int, const Json::Value &request) {
        if (isHeartbeat(request))
            return echo(request);
        // The response to the first call is sent after the response to the second one.
        return firstResponse.empty() ? (firstResponse = echo(request), std::string())
                                     : echo(request) + firstResponse;
    });
    auto first = boost::asio::co_spawn(fixture.context, fixture.client.call(peer, "a", {}, amply()),
                                       boost::asio::use_future);
    CHECK(fixture.call("b", amply()) == "b");
    while (first.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
        fixture.context.run_one();
    CHECK(first.get() == "a");
}

TEST_CASE("A connection without responses is detected and replaced")
{
    ClientFixture fixture([](int connection, const Json::Value &request) {
        return connection == 1 ? std::string() : echo(request);
    });
    SECTION("a call on it fails long before the call's deadline")
    {
        CHECK_THROWS_AS(fixture.call("first", amply()), Core::OutcomeUnknownError);
        CHECK(fixture.call("second", amply()) == "second");
    }
    SECTION("heartbeats detect it without a call")
    {
        boost::asio::steady_timer timer(fixture.context, std::chrono::seconds(2));
        await(fixture.context, timer.async_wait(boost::asio::use_awaitable));
        CHECK(fixture.fake.connectionCount() >= 2);
        CHECK(fixture.call("first", amply()) == "first");
    }
}

TEST_CASE("The queue for a peer that doesn't read is bounded")
{
    ClientFixture fixture([](int, const Json::Value &request) { return echo(request); });
    fixture.fake.isReading = false;
    static constexpr int calls = 40;
    const Json::Value large = std::string(900 * 1024, 'x');
    int rejectedCalls = 0;
    const auto count = [&rejectedCalls](const std::exception_ptr &failure, const Json::Value &) {
        try {
            std::rethrow_exception(failure);
        } catch (const Core::NotDoneError &) {
            ++rejectedCalls;
        } catch (const Core::OutcomeUnknownError &) {
        }
    };
    CHECK_THROWS_AS(fixture.call("opens", soon()), Core::OutcomeUnknownError);
    Json::Value parameters;
    parameters["text"] = large;
    for (int index = 0; index < calls; ++index)
        boost::asio::co_spawn(fixture.context, fixture.client.call(peer, "m", parameters, amply()),
                              count);
    fixture.context.poll();
    CHECK(rejectedCalls >= calls / 2);
}

TEST_CASE("Malformed responses leave the outcome unknown and don't affect later calls")
{
    SECTION("a response that is too long closes the connection")
    {
        ClientFixture fixture([](int connection, const Json::Value &request) {
            return connection == 1 ? std::string(2 * 1024 * 1024, ' ') : echo(request);
        });
        CHECK_THROWS_AS(fixture.call("first", amply()), Core::OutcomeUnknownError);
        CHECK(fixture.call("second", amply()) == "second");
    }
    SECTION("a response without a result or an error is malformed")
    {
        ClientFixture fixture([](int, const Json::Value &request) {
            return "{\"id\":" + request["id"].asString() + "}\n";
        });
        CHECK_THROWS_AS(fixture.call("first", amply()), Core::OutcomeUnknownError);
    }
    rc::prop("random bytes instead of a response leave the outcome unknown",
             [](const std::string &garbage) {
                 ClientFixture fixture([&garbage](int connection, const Json::Value &request) {
                     return connection == 1 ? garbage + '\n' : echo(request);
                 });
                 RC_ASSERT_THROWS_AS(fixture.call("first", amply()), Core::OutcomeUnknownError);
                 RC_ASSERT(fixture.call("second", amply()) == "second");
             });
}
