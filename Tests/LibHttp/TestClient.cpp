#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>
#include <LibHttp/Client.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Answers each request, except that it never answers those for /silent.
class KeepAliveServer
{
public:
    explicit KeepAliveServer(asio::io_context &context)
        : m_acceptor(context, { asio::ip::address_v4::loopback(), 0 })
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    int acceptedConnections() const { return m_acceptedConnections; }

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            ++m_acceptedConnections;
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }
    static asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        std::string received;
        while (true) {
            const std::size_t size = co_await asio::async_read_until(
                socket, asio::dynamic_buffer(received), "\r\n\r\n", asio::use_awaitable);
            const bool isSilent = received.starts_with("GET /silent ");
            received.erase(0, size);
            if (!isSilent)
                co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
    int m_acceptedConnections = 0;
};

/// Answers one call in pieces of 1,000 bytes with pauses between them.
class SlowServer
{
public:
    SlowServer(asio::io_context &context, int pieces, milliseconds pause)
        : m_acceptor(context, { asio::ip::address_v4::loopback(), 0 })
        , m_pieces(pieces)
        , m_pause(pause)
    {
        asio::co_spawn(context, serve(), asio::detached);
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    /// Sends nothing more after this many pieces.
    int silentAfter = 1000;

private:
    asio::awaitable<void> serve()
    {
        asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
        std::string request;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                        asio::use_awaitable);
        const std::string header = "HTTP/1.1 200 OK\r\nContent-Length: "
            + std::to_string(m_pieces * pieceBytes) + "\r\n\r\n";
        co_await asio::async_write(socket, asio::buffer(header), asio::use_awaitable);
        const std::string piece(pieceBytes, 'x');
        asio::steady_timer timer(socket.get_executor());
        for (int i = 0; i < m_pieces; ++i) {
            timer.expires_after(i < silentAfter ? m_pause : std::chrono::hours(1));
            co_await timer.async_wait(asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(piece), asio::use_awaitable);
        }
    }

    static constexpr std::size_t pieceBytes = 1000;

    asio::ip::tcp::acceptor m_acceptor;
    int m_pieces;
    milliseconds m_pause;
};

struct ClientFixture
{
    asio::io_context context;
    SlowServer server { context, 8, milliseconds(100) };
    Http::Client client { context.get_executor(), { "127.0.0.1", server.port() } };

    /// The length of the answer's body, or nothing if no complete answer arrived in 300 ms.
    std::optional<std::size_t> bytesOf(Http::Request request)
    {
        std::optional<std::size_t> bytes;
        bool isDone = false;
        const Core::Instant deadline = Core::steadyNow() + milliseconds(300);
        asio::co_spawn(context, client.exchange(std::move(request), deadline),
                       [&](const std::exception_ptr &failure, const Http::Answer &answer) {
                           isDone = true;
                           if (!failure)
                               bytes = answer.body.size();
                       });
        while (!isDone)
            context.run_one();
        return bytes;
    }
};

} // namespace

TEST_CASE("The deadline of a call bounds its whole answer")
{
    ClientFixture fixture;
    Http::Request request;
    request.step = "read";
    request.target = "/";

    SECTION("an answer that is still arriving at the deadline is abandoned")
    {
        CHECK_FALSE(fixture.bytesOf(request));
    }
    SECTION("unless it is long: then it may continue while parts of it arrive")
    {
        request.isAnswerLong = true;
        CHECK(fixture.bytesOf(request) == 8000);
    }
    SECTION("but not once no part arrives any more")
    {
        request.isAnswerLong = true;
        fixture.server.silentAfter = 2;
        CHECK_FALSE(fixture.bytesOf(request));
    }
}

TEST_CASE("A call that fails leaves the connections that answered since it began")
{
    asio::io_context context;
    const KeepAliveServer server(context);
    Http::Client client(context.get_executor(), { "127.0.0.1", server.port() });
    int endedCalls = 0;
    const auto begin = [&](const std::string &target, milliseconds allowed) {
        Http::Request request;
        request.step = "read";
        request.target = target;
        asio::co_spawn(context, client.exchange(std::move(request), Core::steadyNow() + allowed),
                       [&](const std::exception_ptr &, const Http::Answer &) { ++endedCalls; });
    };
    const auto runUntilEnded = [&](int calls) {
        while (endedCalls < calls)
            context.run_one();
    };

    begin("/silent", milliseconds(300));
    begin("/", milliseconds(2000));
    runUntilEnded(2);
    REQUIRE(server.acceptedConnections() == 2);
    begin("/", milliseconds(2000));
    runUntilEnded(3);
    CHECK(server.acceptedConnections() == 2);
}

TEST_CASE("A call that requires a server process is sent on a connection to it or not at all")
{
    asio::io_context context;
    const KeepAliveServer server(context);
    Http::Client client(context.get_executor(), { "127.0.0.1", server.port() });
    std::optional<Http::ConnectionNumber> answeredOn;
    bool wasNotDone = false;
    int endedCalls = 0;
    const auto begin = [&](const std::string &target, std::optional<Http::ServerProcess> process) {
        Http::Request request;
        request.step = "read";
        request.target = target;
        request.isIdempotent = true;
        request.requiredProcess = process;
        asio::co_spawn(context,
                       client.exchange(std::move(request), Core::steadyNow() + milliseconds(300)),
                       [&](const std::exception_ptr &failure, const Http::Answer &answer) {
                           ++endedCalls;
                           answeredOn = failure ? std::nullopt : std::optional(answer.connection);
                           try {
                               if (failure)
                                   std::rethrow_exception(failure);
                           } catch (const Core::NotDoneError &) {
                               wasNotDone = true;
                           } catch (const Core::Error &) {
                               wasNotDone = false;
                           }
                       });
    };
    const auto finish = [&](int calls) {
        while (endedCalls < calls)
            context.run_one();
    };
    begin("/", std::nullopt);
    finish(1);
    REQUIRE(answeredOn);
    const Http::ConnectionNumber first = *answeredOn;
    constexpr Http::ServerProcess process = 7;
    CHECK_FALSE(client.hasIdleConnectionTo(process));
    client.noteProcess(first, process);
    REQUIRE(client.hasIdleConnectionTo(process));

    SECTION("if one is idle, on that one, also the next time")
    {
        begin("/", process);
        finish(2);
        CHECK(answeredOn == first);
        begin("/", process);
        finish(3);
        CHECK(answeredOn == first);
        CHECK(server.acceptedConnections() == 1);
    }
    SECTION("if only another process has been seen on it, not at all")
    {
        begin("/", process + 1);
        finish(2);
        CHECK(wasNotDone);
        CHECK(client.hasIdleConnectionTo(process));
        CHECK(server.acceptedConnections() == 1);
    }
    SECTION("if the idle connection has shown another process since, not at all")
    {
        client.noteProcess(first, process + 1);
        begin("/", process);
        finish(2);
        CHECK(wasNotDone);
        CHECK(server.acceptedConnections() == 1);
    }
    SECTION("while others are idle, on that one")
    {
        begin("/", process);
        begin("/", std::nullopt);
        finish(3);
        REQUIRE(server.acceptedConnections() == 2);
        begin("/", process);
        finish(4);
        CHECK(answeredOn == first);
        begin("/", std::nullopt);
        begin("/", process);
        finish(6);
        CHECK(server.acceptedConnections() == 2);
    }
    SECTION("while another call uses it, not at all")
    {
        begin("/silent", std::nullopt);
        context.run_for(milliseconds(20));
        begin("/", process);
        finish(2);
        CHECK(wasNotDone);
        CHECK(server.acceptedConnections() == 1);
        finish(3);
    }
    SECTION("once it is closed, not at all")
    {
        begin("/silent", process);
        finish(2);
        begin("/", std::nullopt);
        finish(3);
        CHECK(answeredOn != first);
        begin("/", process);
        finish(4);
        CHECK(wasNotDone);
        CHECK(server.acceptedConnections() == 2);
    }
    SECTION("when it breaks, it isn't sent again on another one")
    {
        begin("/silent", process);
        finish(2);
        CHECK_FALSE(wasNotDone);
        CHECK(server.acceptedConnections() == 1);
    }
}

TEST_CASE(
    "Clients that share a budget close each other's idle connections before they refuse a call")
{
    asio::io_context context;
    const KeepAliveServer firstServer(context);
    const KeepAliveServer secondServer(context);
    const auto budget = std::make_shared<Http::ConnectionBudget>(1);
    const auto watch = std::make_shared<Http::DeadlineWatch>(context.get_executor());
    Http::Client first(context.get_executor(), { "127.0.0.1", firstServer.port() }, budget, watch);
    Http::Client second(context.get_executor(), { "127.0.0.1", secondServer.port() }, budget,
                        watch);
    int answers = 0;
    std::vector<std::string> refusals;
    const auto begin = [&](Http::Client &client, const std::string &target) {
        Http::Request request;
        request.step = "read";
        request.target = target;
        const Core::Instant deadline = Core::steadyNow() + milliseconds(200);
        asio::co_spawn(context, client.exchange(std::move(request), deadline),
                       [&](const std::exception_ptr &failure, const Http::Answer &) {
                           try {
                               if (failure)
                                   std::rethrow_exception(failure);
                               ++answers;
                           } catch (const Core::NotDoneError &error) {
                               refusals.emplace_back(error.what());
                           } catch (const Core::OutcomeUnknownError &) {
                               // The silent call.
                           }
                       });
    };
    const auto runUntil = [&](const auto &isDone) {
        while (!isDone())
            context.run_one();
    };

    begin(first, "/");
    runUntil([&] { return answers == 1; });
    REQUIRE(budget->idle() == 1);

    SECTION("an idle connection is closed for the call")
    {
        begin(second, "/");
        runUntil([&] { return answers == 2; });
        CHECK(budget->open() == 1);
        CHECK(refusals.empty());
    }
    SECTION("one in use doesn't: the other call is refused immediately, and nothing is sent")
    {
        begin(second, "/silent");
        begin(first, "/");
        runUntil([&] { return !refusals.empty(); });
        CHECK(refusals.front().find("the connection budget is exhausted") != std::string::npos);
        CHECK(budget->refusedCalls() == 1);
        runUntil([&] { return budget->open() == 0; });
        begin(first, "/");
        runUntil([&] { return answers == 2; });
    }
}

TEST_CASE("A client that is destroyed returns its connections to the shared budget")
{
    asio::io_context context;
    const KeepAliveServer server(context);
    const auto budget = std::make_shared<Http::ConnectionBudget>(4);
    const auto watch = std::make_shared<Http::DeadlineWatch>(context.get_executor());
    bool isAnswered = false;
    {
        Http::Client client(context.get_executor(), { "127.0.0.1", server.port() }, budget, watch);
        Http::Request request;
        request.step = "read";
        request.target = "/";
        const Core::Instant deadline = Core::steadyNow() + milliseconds(2000);
        asio::co_spawn(context, client.exchange(std::move(request), deadline),
                       [&](const std::exception_ptr &failure, const Http::Answer &) {
                           isAnswered = !failure;
                       });
        while (!isAnswered)
            context.run_one();
        CHECK(budget->open() == 1);
    }
    context.poll();
    CHECK(budget->open() == 0);
    CHECK(budget->idle() == 0);
}
