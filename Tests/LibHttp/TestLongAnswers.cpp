#include <LibCore/SteadyClock.h>
#include <LibHttp/Client.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <exception>
#include <string>
#include <thread>

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Answers one call with a body of \p bodyBytes from a thread of its own.
class OneAnswerServer
{
public:
    explicit OneAnswerServer(std::size_t bodyBytes)
        : m_acceptor(m_context, { asio::ip::address_v4::loopback(), 0 })
        , m_thread([this, bodyBytes] { serve(bodyBytes); })
    {
    }
    OneAnswerServer(const OneAnswerServer &) = delete;
    OneAnswerServer &operator=(const OneAnswerServer &) = delete;
    ~OneAnswerServer() { m_thread.join(); }

    Http::Endpoint endpoint() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }
    /// True once the system has accepted the whole answer for sending.
    bool hasAnswered() const { return m_hasAnswered; }

private:
    void serve(std::size_t bodyBytes)
    {
        asio::ip::tcp::socket socket = m_acceptor.accept();
        socket.set_option(asio::socket_base::send_buffer_size(static_cast<int>(2 * bodyBytes)));
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bodyBytes)
            + "\r\n\r\n" + std::string(bodyBytes, 'x');
        asio::write(socket, asio::buffer(answer));
        m_hasAnswered = true;
        // The connection stays open until the client has closed it.
        boost::system::error_code closed;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", closed);
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_hasAnswered = false;
    std::thread m_thread;
};

/// One call, and the handlers that the event loop runs to read its answer.
class ReadAnswer
{
public:
    explicit ReadAnswer(std::size_t bodyBytes)
        : m_server(bodyBytes)
    {
        const Core::Instant giveUpAt = Core::steadyNow() + std::chrono::seconds(5);
        asio::co_spawn(m_context, exchange(),
                       [this](const std::exception_ptr &) { m_isOver = true; });
        while (!m_server.hasAnswered() && Core::steadyNow() < giveUpAt)
            m_context.run_one_for(milliseconds(1));
        while (!m_isOver && Core::steadyNow() < giveUpAt)
            m_handlers += static_cast<int>(m_context.run_one_for(milliseconds(10)));
    }

    std::size_t receivedBytes() const { return m_receivedBytes; }
    int handlers() const { return m_handlers; }

private:
    asio::awaitable<void> exchange()
    {
        Http::Request request;
        request.step = "read";
        request.target = "/";
        const Core::Instant deadline = Core::steadyNow() + std::chrono::seconds(5);
        const Http::Answer answer = co_await m_client.exchange(std::move(request), deadline);
        m_receivedBytes = answer.body.size();
    }

    asio::io_context m_context;
    OneAnswerServer m_server;
    Http::Client m_client { m_context.get_executor(), m_server.endpoint() };
    std::size_t m_receivedBytes = 0;
    int m_handlers = 0;
    bool m_isOver = false;
};

} // namespace

TEST_CASE("A long answer that has arrived is read in few turns of the event loop")
{
    constexpr std::size_t bytesPerTurn = 4096;
    const std::size_t bodyBytes = GENERATE(60'000, 200'000);
    const ReadAnswer answer(bodyBytes);
    CHECK(answer.receivedBytes() == bodyBytes);
    CHECK(answer.handlers() <= static_cast<int>(bodyBytes / bytesPerTurn));
}
