#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>
#include <LibHttp/Client.h>
#include <LibSite/BackgroundExecutor.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <thread>

using namespace Site;
namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Answers every request at once, unless it is silent.
class PromptServer
{
public:
    explicit PromptServer(asio::io_context &context)
        : m_acceptor(context, { asio::ip::address_v4::loopback(), 0 })
    {
        asio::co_spawn(context, accept(), asio::detached);
    }

    Http::Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

    bool isSilent = false;

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }
    asio::awaitable<void> serve(asio::ip::tcp::socket socket)
    {
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        while (true) {
            std::string request;
            co_await asio::async_read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                                            asio::use_awaitable);
            if (!isSilent)
                co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
        }
    }

    asio::ip::tcp::acceptor m_acceptor;
};

struct CallFixture
{
    asio::io_context context;
    std::shared_ptr<BackgroundQueue> queue
        = std::make_shared<BackgroundQueue>(context.get_executor());
    PromptServer server { context };
    Http::Client client { context.get_executor(), server.endpoint() };
    int answered = 0;
    int failed = 0;

    void call(const asio::any_io_executor &executor, milliseconds timeout)
    {
        asio::co_spawn(executor, exchange(Core::steadyNow() + timeout), asio::detached);
    }
    /// Fills the queue with work that takes \p entries times 5 ms.
    void occupyQueue(int entries)
    {
        for (int i = 0; i < entries; ++i)
            queue->execute(BackgroundQueue::Priority::Ordinary,
                           [] { std::this_thread::sleep_for(milliseconds(5)); });
    }
    void runUntilDone(int calls)
    {
        const Core::Instant end = Core::steadyNow() + std::chrono::seconds(5);
        while (answered + failed < calls && Core::steadyNow() < end)
            context.run_one_for(milliseconds(10));
    }

private:
    asio::awaitable<void> exchange(Core::Instant deadline)
    {
        Http::Request request;
        request.step = "read";
        request.target = "/";
        try {
            const Http::Answer answer = co_await client.exchange(std::move(request), deadline);
            answered += answer.body == "ok" ? 1 : 0;
        } catch (const Core::Error &) {
            ++failed;
        }
    }
};

} // namespace

TEST_CASE("HTTP calls in the background are answered, or end at their deadline")
{
    CallFixture fixture;
    const BackgroundExecutor background(fixture.queue, BackgroundQueue::Priority::Ordinary);
    fixture.server.isSilent = GENERATE(false, true);
    for (int i = 0; i < 30; ++i)
        fixture.call(background, milliseconds(fixture.server.isSilent ? 200 : 3000));
    fixture.runUntilDone(30);
    CHECK(fixture.answered == (fixture.server.isSilent ? 0 : 30));
    CHECK(fixture.failed == (fixture.server.isSilent ? 30 : 0));
}

TEST_CASE("An HTTP call on the loop isn't delayed by a full background queue")
{
    CallFixture fixture;
    fixture.occupyQueue(200);
    const Core::Instant began = Core::steadyNow();
    fixture.call(fixture.context.get_executor(), milliseconds(3000));
    fixture.runUntilDone(1);
    CHECK(fixture.answered == 1);
    CHECK(Core::steadyNow() - began < milliseconds(500));
}
