#include <utility>

#include <LibHttp/Server.h>

#include "ReceiveBuffer.h"

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>
#include <LibLog/Logging.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>

namespace Http {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// How long requests in progress may take once the server stops.
static constexpr Core::Duration drainTime = std::chrono::milliseconds(1500);
static constexpr Core::Duration writeTime = std::chrono::seconds(5);
/// Thousands of callers may send at once, so each gets little room.
static constexpr std::size_t maxReceiveBytes = 8 * 1024;
static constexpr Core::Duration acceptRetrySpacing = std::chrono::milliseconds(50);
static const auto partLogger = Log::logger("http");

ServerResponse makeResponse(unsigned status, const std::string &body)
{
    ServerResponse response(http::int_to_status(status), 11);
    if (!body.empty())
        response.set(http::field::content_type, "application/json");
    response.body() = body;
    return response;
}

Server::Server(std::string name, const Endpoint &endpoint, RequestHandler &handler,
               const asio::any_io_executor &executor, std::size_t maxConnections)
    : m_name(std::move(name))
    , m_endpoint(endpoint)
    , m_handler(handler)
    , m_executor(executor)
    , m_maxConnections(maxConnections)
    , m_changed(executor)
{
}

asio::awaitable<void> Server::run()
{
    m_isStopping = false;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_endpoint.address),
                                           m_endpoint.port);
    m_acceptor = std::make_unique<asio::ip::tcp::acceptor>(m_executor, endpoint);
    LOG4CXX_INFO(partLogger,
                 "event=listen server=" << m_name << " address=" << m_endpoint.address << ':'
                                        << endpoint.port());
    co_await accept();
    const std::set<Stream *> idle = m_idle;
    for (Stream *stream : idle)
        stream->cancel();
    const Core::Instant deadline = Core::steadyNow() + drainTime;
    while (m_inProgress > 0 && Core::steadyNow() < deadline)
        co_await m_changed.sleepUntil(deadline);
    LOG4CXX_INFO(partLogger, "event=closed server=" << m_name << " in_progress=" << m_inProgress);
}

void Server::requestStop()
{
    m_isStopping = true;
    error_code ignored;
    if (m_acceptor)
        m_acceptor->close(ignored);
    m_changed.wake();
}

asio::awaitable<void> Server::accept()
{
    while (!m_isStopping) {
        error_code error;
        asio::ip::tcp::socket socket(m_executor);
        co_await m_acceptor->async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (m_isStopping)
            co_return;
        if (error) {
            // Such as no free descriptor: connections that end make room.
            LOG4CXX_WARN(partLogger,
                         "event=accept-failed server=" << m_name << " reason=\"" << error.message()
                                                       << '"');
            Supervision::Wakeup pause(m_executor);
            co_await pause.sleepUntil(Core::steadyNow() + acceptRetrySpacing);
            continue;
        }
        if (m_connections >= std::min(m_handler.limits().connections, m_maxConnections))
            continue;
        socket.set_option(asio::ip::tcp::no_delay(true), error);
        auto stream = std::make_shared<Stream>(std::move(socket));
        asio::co_spawn(m_executor, serve(std::move(stream)), asio::detached);
    }
}

asio::awaitable<void> Server::serve(std::shared_ptr<Stream> stream)
{
    ++m_connections;
    boost::beast::flat_buffer buffer;
    bool isKept = true;
    while (isKept && !m_isStopping)
        isKept = co_await serveOne(*stream, buffer);
    error_code ignored;
    stream->socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    --m_connections;
    m_changed.wake();
}

asio::awaitable<bool> Server::serveOne(Stream &stream, boost::beast::flat_buffer &buffer)
{
    const ServerLimits limits = m_handler.limits();
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits.headerBytes);
    parser.body_limit(limits.bodyBytes);
    error_code error;
    ReceiveBuffer receiveBuffer(buffer, maxReceiveBytes);
    if (buffer.size() == 0) {
        m_idle.insert(&stream);
        stream.expires_at(Core::toSteadyTimePoint(Core::steadyNow() + limits.idleTime));
        co_await http::async_read_some(stream, buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        m_idle.erase(&stream);
        if (error && error != http::error::need_more)
            co_return false;
    }
    ++m_inProgress;
    stream.expires_at(Core::toSteadyTimePoint(Core::steadyNow() + limits.receiveTime));
    while (!error && !parser.is_done()) {
        receiveBuffer.makeRoom(parser);
        co_await http::async_read_some(stream, buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
    }
    bool isKept = false;
    const bool isReadable = !error;
    const bool isTooLarge = error == http::error::body_limit || error == http::error::header_limit;
    const bool isBroken = !isReadable && !isTooLarge && error != http::error::bad_method
        && error != http::error::bad_target && error != http::error::bad_version;
    if (!isBroken) {
        ServerResponse response;
        if (isReadable) {
            const bool wantsKeepAlive = parser.keep_alive();
            response = co_await answer(parser.release());
            isKept = wantsKeepAlive && !m_isStopping && !m_isLeaving;
        } else {
            response = makeResponse(isTooLarge ? 413 : 400, "{\"error\":\"unreadable request\"}");
        }
        response.keep_alive(isKept);
        response.prepare_payload();
        stream.expires_at(Core::toSteadyTimePoint(Core::steadyNow() + writeTime));
        co_await http::async_write(stream, response,
                                   asio::redirect_error(asio::use_awaitable, error));
        isKept = isKept && !error;
    }
    --m_inProgress;
    m_changed.wake();
    co_return isKept;
}

asio::awaitable<ServerResponse> Server::answer(ServerRequest request)
{
    std::string failure;
    try {
        co_return co_await m_handler.answer(std::move(request));
    } catch (const std::exception &exception) {
        // One request that can't be answered must not end the whole daemon.
        failure = exception.what();
    }
    LOG4CXX_ERROR(partLogger, "event=failure server=" << m_name << " reason=\"" << failure << '"');
    co_return makeResponse(500, "{\"error\":\"internal error\"}");
}

} // namespace Http
