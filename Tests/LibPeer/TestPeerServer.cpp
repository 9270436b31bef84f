#include <Common/Await.h>
#include <LibCore/Error.h>
#include <LibPeer/PeerServer.h>
#include <LibPeer/RemoteError.h>
#include <LibPeer/TcpPeerClient.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <rapidcheck/catch.h>

#include <optional>

namespace asio = boost::asio;
using Peer::PeerServer;
using StandIn::amply;
using StandIn::await;

namespace {

const Core::VmId peer("e2");

/// A server with a method that counts its calls, and a client of it.
struct ServerFixture
{
    asio::io_context context;
    std::optional<PeerServer> server;
    int count = 0;
    Peer::TcpPeerClient client { context.get_executor() };

    ServerFixture()
    {
        listen(0);
        client.setPeers({ { peer, "127.0.0.1", server->port() } });
    }

    void listen(std::uint16_t port)
    {
        server.emplace(context.get_executor(), "127.0.0.1", port);
        server->addMethod("count", [this](const Json::Value &) { return Json::Value(++count); });
        server->addMethod("echo", [](const Json::Value &parameters) { return parameters; });
        server->addMethod("fail", [](const Json::Value &) -> Json::Value {
            throw Core::Error("apply", "e2", "refused");
        });
    }

    Json::Value call(const std::string &method, const Json::Value &parameters = {})
    {
        return await(context, client.call(peer, method, parameters, amply()));
    }

    /// Sends \p bytes on a new connection and reads until the server closes it. Returns the
    /// received bytes.
    asio::awaitable<std::string> sendRaw(std::string bytes)
    {
        boost::system::error_code ignored;
        asio::ip::tcp::socket socket(context);
        co_await socket.async_connect({ asio::ip::address_v4::loopback(), server->port() },
                                      asio::use_awaitable);
        co_await asio::async_write(socket, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, ignored));
        socket.shutdown(asio::socket_base::shutdown_send, ignored);
        std::string response;
        co_await asio::async_read(socket, asio::dynamic_buffer(response),
                                  asio::redirect_error(asio::use_awaitable, ignored));
        co_return response;
    }
};

int errorCode(ServerFixture &fixture, const std::string &method)
{
    try {
        fixture.call(method);
        return 0;
    } catch (const Peer::RemoteError &error) {
        return error.code();
    }
}

} // namespace

TEST_CASE("A server executes its peers' calls")
{
    ServerFixture fixture;
    Json::Value parameters;
    parameters["epoch"] = Json::Int64(1) << 60;
    CHECK(fixture.call("echo", parameters) == parameters);
    SECTION("an exception in a method fails only its call")
    {
        CHECK(errorCode(fixture, "fail") == -32603);
        CHECK(errorCode(fixture, "unknown") == -32601);
        CHECK(fixture.call("count") == 1);
    }
    SECTION("a stopped server doesn't execute calls")
    {
        const std::uint16_t port = fixture.server->port();
        fixture.server.reset();
        CHECK_THROWS_AS(fixture.call("count"), Core::Error);
        CHECK_THROWS_AS(fixture.call("count"), Core::NotDoneError);
        CHECK(fixture.count == 0);
        SECTION("the client reconnects when the server is restarted")
        {
            fixture.listen(port);
            const Core::Instant limit = amply();
            while (fixture.count == 0 && Core::steadyNow() < limit) {
                try {
                    fixture.call("count");
                } catch (const Core::NotDoneError &) {
                    fixture.context.run_one();
                }
            }
            CHECK(fixture.count == 1);
        }
    }
    SECTION("calls to a removed peer fail without being sent")
    {
        fixture.client.setPeers({});
        CHECK_THROWS_AS(fixture.call("count"), Core::NotDoneError);
    }
}

TEST_CASE("A server executes only well-formed requests")
{
    ServerFixture fixture;
    SECTION("a message that is too long closes only its own connection")
    {
        const std::string request = R"({"jsonrpc":"2.0","id":7,"method":"count"})";
        await(fixture.context, fixture.sendRaw(std::string(3 * 1024 * 1024, ' ') + request + '\n'));
        CHECK(fixture.count == 0);
        CHECK(fixture.call("count") == 1);
    }
    SECTION("a well-formed raw request is executed")
    {
        const std::string request = R"({"jsonrpc":"2.0","id":7,"method":"count"})";
        CHECK(await(fixture.context, fixture.sendRaw(request + '\n'))
              == "{\"id\":7,\"jsonrpc\":\"2.0\",\"result\":1}\n");
    }
    rc::prop("random bytes don't call a method", [&](const std::string &garbage) {
        const int before = fixture.count;
        await(fixture.context, fixture.sendRaw(garbage + '\n'));
        RC_ASSERT(fixture.count == before);
        RC_ASSERT(fixture.call("count") == before + 1);
    });
    rc::prop("a truncated request is never executed", [&] {
        const std::string request = R"({"jsonrpc":"2.0","id":7,"method":"count"})";
        const auto length = *rc::gen::inRange<std::size_t>(0, request.size());
        const int before = fixture.count;
        await(fixture.context, fixture.sendRaw(request.substr(0, length) + '\n'));
        await(fixture.context, fixture.sendRaw(request.substr(0, length)));
        RC_ASSERT(fixture.count == before);
    });
}
