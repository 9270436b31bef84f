#include <LibCore/SteadyClock.h>
#include <LibHttp/Client.h>
#include <LibHttp/Server.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <vector>

namespace asio = boost::asio;

namespace {

class OkHandler final : public Http::RequestHandler
{
public:
    asio::awaitable<Http::ServerResponse> answer(Http::ServerRequest) override
    {
        co_return Http::makeResponse(200, "");
    }
};

std::uint16_t freePort(asio::io_context &context)
{
    const asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
    return acceptor.local_endpoint().port();
}

} // namespace

TEST_CASE("A server keeps no more connections than its share of the descriptors")
{
    constexpr int maxConnections = 3;
    constexpr int callers = 5;
    asio::io_context context;
    const Http::Endpoint endpoint { "127.0.0.1", freePort(context) };
    OkHandler handler;
    REQUIRE(handler.limits().connections > callers);
    Http::Server server("callers", endpoint, handler, context.get_executor(), maxConnections);
    asio::co_spawn(context, server.run(), asio::detached);

    // Each keeps its connection open after the answer.
    std::vector<std::unique_ptr<Http::Client>> clients;
    clients.reserve(callers);
    int answers = 0;
    int endedCalls = 0;
    for (int i = 0; i < callers; ++i) {
        clients.push_back(std::make_unique<Http::Client>(context.get_executor(), endpoint));
        Http::Request request;
        request.step = "read";
        request.target = "/";
        const Core::Instant deadline = Core::steadyNow() + std::chrono::seconds(2);
        asio::co_spawn(context, clients.back()->exchange(std::move(request), deadline),
                       [&](const std::exception_ptr &failure, const Http::Answer &) {
                           ++endedCalls;
                           if (!failure)
                               ++answers;
                       });
    }
    while (endedCalls < callers)
        context.run_one();
    CHECK(answers == maxConnections);
}
