#include "EntryVmClient.h"

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <charconv>
#include <sstream>

namespace Load {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

static constexpr std::size_t maximumIdleConnections = 256;
static constexpr const char *step = "call door";

static auto awaitInto(error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

struct EntryVmClient::Connection
{
    explicit Connection(const asio::any_io_executor &executor)
        : stream(executor)
    {
    }

    /// True if the server has neither closed the idle connection nor sent unexpected bytes on it.
    bool isQuiet()
    {
        error_code error;
        std::array<char, 1> byte {};
        stream.socket().non_blocking(true, error);
        stream.socket().receive(asio::buffer(byte), asio::socket_base::message_peek, error);
        return error == asio::error::would_block;
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
};

EntryVmClient::EntryVmClient(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint)
    : m_executor(std::move(executor))
    , m_endpoint(std::move(endpoint))
{
}

EntryVmClient::~EntryVmClient() = default;

std::string EntryVmClient::name() const
{
    std::ostringstream text;
    text << m_endpoint;
    return text.str();
}

asio::awaitable<EntryVmResponse> EntryVmClient::call(EntryVmRequest request, Core::Instant deadline)
{
    std::unique_ptr<Connection> connection = takeIdle();
    const bool isNew = connection == nullptr;
    if (isNew)
        connection = std::make_unique<Connection>(m_executor);
    connection->stream.expires_at(Core::toSteadyTimePoint(deadline));
    if (isNew) {
        error_code error;
        co_await connection->stream.async_connect(m_endpoint, awaitInto(error));
        if (error)
            throw Core::NotDoneError(step, name(), "connect: " + error.message());
        connection->stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    }
    co_await send(*connection, request);
    co_return co_await receive(std::move(connection));
}

std::unique_ptr<EntryVmClient::Connection> EntryVmClient::takeIdle()
{
    while (!m_idle.empty()) {
        std::unique_ptr<Connection> connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (connection->isQuiet())
            return connection;
    }
    return nullptr;
}

asio::awaitable<void> EntryVmClient::send(Connection &connection, const EntryVmRequest &request)
{
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, name());
    for (const auto &[header, value] : request.headers)
        message.set(header, value);
    message.body() = request.body;
    message.prepare_payload();
    error_code error;
    const std::size_t sentBytes
        = co_await http::async_write(connection.stream, message, awaitInto(error));
    if (error && sentBytes == 0)
        throw Core::NotDoneError(step, name(), "send: " + error.message());
    if (error)
        throw Core::OutcomeUnknownError(step, name(), "send: " + error.message());
}

static Core::Duration parseSeconds(boost::beast::string_view text)
{
    int seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return std::chrono::seconds(seconds);
}

asio::awaitable<EntryVmResponse> EntryVmClient::receive(std::unique_ptr<Connection> connection)
{
    error_code error;
    http::response<http::string_body> message;
    co_await http::async_read(connection->stream, connection->buffer, message, awaitInto(error));
    if (error)
        throw Core::OutcomeUnknownError(step, name(), "receive: " + error.message());
    EntryVmResponse answer;
    answer.status = message.result_int();
    answer.outcome = std::string(message["Lagoonford-Outcome"]);
    answer.retryAfter = parseSeconds(message[http::field::retry_after]);
    answer.body = std::move(message.body());
    const bool isReusable = message.keep_alive() && connection->buffer.size() == 0;
    if (isReusable && m_idle.size() < maximumIdleConnections) {
        connection->stream.expires_never();
        m_idle.push_back(std::move(connection));
    }
    co_return answer;
}

} // namespace Load
