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

/// A link to a fake peer in one thread.
struct LinkFixture
{
    boost::asio::io_context context;
    FakePeer fake;
    Peer::TcpPeerClient link { context.get_executor() };

    explicit LinkFixture(FakePeer::Script script)
        : fake(context, std::move(script))
    {
        link.setPeers({ { peer, "127.0.0.1", fake.port() } });
    }

    Json::Value call(const std::string &method, Core::Instant deadline)
    {
        return await(context, link.call(peer, method, {}, deadline));
    }
};

bool isHeartbeat(const Json::Value &request)
{
    return request["method"] == "peer.ping";
}

/// Answers with the method's name.
std::string echo(const Json::Value &request)
{
    return answerTo(request, request["method"]);
}

} // namespace

TEST_CASE("A late answer reaches no other call")
{
    Json::Value late;
    LinkFixture fixture([&late](int, const Json::Value &request) {
        if (isHeartbeat(request))
            return echo(request);
        if (late.isNull()) {
            late = request;
            return std::string();
        }
        return answerTo(late, "late") + echo(request);
    });
    CHECK_THROWS_AS(fixture.call("first", soon()), Core::OutcomeUnknownError);
    CHECK(fixture.call("second", amply()) == "second");
    CHECK(fixture.fake.connections() == 1);
}

TEST_CASE("Calls under way at once get each its own answer")
{
    std::string held;
    LinkFixture fixture([&held](int, const Json::Value &request) {
        if (isHeartbeat(request))
            return echo(request);
        // The answer to the first goes out behind that to the second.
        return held.empty() ? (held = echo(request), std::string()) : echo(request) + held;
    });
    auto first = boost::asio::co_spawn(fixture.context, fixture.link.call(peer, "a", {}, amply()),
                                       boost::asio::use_future);
    CHECK(fixture.call("b", amply()) == "b");
    while (first.wait_for(std::chrono::seconds(0)) != std::future_status::ready)
        fixture.context.run_one();
    CHECK(first.get() == "a");
}

TEST_CASE("A connection gone silent is found and replaced")
{
    LinkFixture fixture([](int connection, const Json::Value &request) {
        return connection == 1 ? std::string() : echo(request);
    });
    SECTION("a call on it fails long before its own deadline")
    {
        CHECK_THROWS_AS(fixture.call("first", amply()), Core::OutcomeUnknownError);
        CHECK(fixture.call("second", amply()) == "second");
    }
    SECTION("heartbeats find it without any call")
    {
        boost::asio::steady_timer timer(fixture.context, std::chrono::seconds(2));
        await(fixture.context, timer.async_wait(boost::asio::use_awaitable));
        CHECK(fixture.fake.connections() >= 2);
        CHECK(fixture.call("first", amply()) == "first");
    }
}

TEST_CASE("A peer that takes no bytes doesn't make the queue grow without bound")
{
    LinkFixture fixture([](int, const Json::Value &request) { return echo(request); });
    fixture.fake.isReading = false;
    static constexpr int calls = 40;
    const Json::Value large = std::string(900 * 1024, 'x');
    int refused = 0;
    const auto count = [&refused](const std::exception_ptr &failure, const Json::Value &) {
        try {
            std::rethrow_exception(failure);
        } catch (const Core::NotDoneError &) {
            ++refused;
        } catch (const Core::OutcomeUnknownError &) {
        }
    };
    CHECK_THROWS_AS(fixture.call("opens", soon()), Core::OutcomeUnknownError);
    Json::Value parameters;
    parameters["text"] = large;
    for (int index = 0; index < calls; ++index)
        boost::asio::co_spawn(fixture.context, fixture.link.call(peer, "m", parameters, amply()),
                              count);
    fixture.context.poll();
    CHECK(refused >= calls / 2);
}

TEST_CASE("Malformed answers give no result and harm nothing")
{
    SECTION("an answer that is too long ends the connection")
    {
        LinkFixture fixture([](int connection, const Json::Value &request) {
            return connection == 1 ? std::string(2 * 1024 * 1024, ' ') : echo(request);
        });
        CHECK_THROWS_AS(fixture.call("first", amply()), Core::OutcomeUnknownError);
        CHECK(fixture.call("second", amply()) == "second");
    }
    SECTION("an answer without result or error isn't one")
    {
        LinkFixture fixture([](int, const Json::Value &request) {
            return "{\"id\":" + request["id"].asString() + "}\n";
        });
        CHECK_THROWS_AS(fixture.call("first", amply()), Core::OutcomeUnknownError);
    }
    rc::prop("any bytes in place of an answer leave the outcome unknown",
             [](const std::string &garbage) {
                 LinkFixture fixture([&garbage](int connection, const Json::Value &request) {
                     return connection == 1 ? garbage + '\n' : echo(request);
                 });
                 RC_ASSERT_THROWS_AS(fixture.call("first", amply()), Core::OutcomeUnknownError);
                 RC_ASSERT(fixture.call("second", amply()) == "second");
             });
}
