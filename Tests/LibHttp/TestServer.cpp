#include <LibCore/SteadyClock.h>
#include <LibHttp/Client.h>
#include <LibHttp/Server.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <optional>
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

namespace {

/// The status with which a server with the budget answers a request with the fields.
unsigned statusOf(std::shared_ptr<Http::MemoryBudget> budget, std::size_t fieldCount)
{
    asio::io_context context;
    const Http::Endpoint endpoint { "127.0.0.1", freePort(context) };
    OkHandler handler;
    Http::Server server("callers", endpoint, handler, context.get_executor(),
                        Http::ServerLimits().connections, std::move(budget));
    asio::co_spawn(context, server.run(), asio::detached);
    Http::Client client(context.get_executor(), endpoint);
    Http::Request request;
    request.step = "read";
    request.target = "/";
    request.fields.assign(fieldCount, { "a", "b" });
    std::optional<unsigned> status;
    const Core::Instant deadline = Core::steadyNow() + std::chrono::seconds(2);
    asio::co_spawn(context, client.exchange(std::move(request), deadline),
                   [&](const std::exception_ptr &failure, const Http::Answer &answer) {
                       status = failure ? 0 : answer.status;
                   });
    while (!status)
        context.run_one();
    return *status;
}

} // namespace

// Guards against taking requests in for which there is no memory.
TEST_CASE("A server refuses requests while its budget is exhausted")
{
    const auto budget = std::make_shared<Http::MemoryBudget>(4096);
    CHECK(statusOf(budget, 1) == 200);
    const auto group = std::make_shared<Http::MemoryBudget::Group>(budget);
    Http::MemoryBudget::Connection other(
        group, [] {}, Core::steadyNow());
    other.hold(4096, 4096, Core::steadyNow());
    CHECK(statusOf(budget, 1) == 503);
    other.becomeIdle(Core::steadyNow());
    CHECK(statusOf(budget, 1) == 200);
}

// Guards against headers that take many times their bytes.
TEST_CASE("A server refuses headers of too many fields")
{
    // The client adds the field Host.
    CHECK(statusOf(nullptr, Http::ServerLimits().headerFields - 1) == 200);
    CHECK(statusOf(nullptr, Http::ServerLimits().headerFields) == 431);
}
