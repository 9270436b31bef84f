#include <utility>

#include <LibHttp/Server.h>

#include "ReceiveBuffer.h"
#include "ReceivedBody.h"

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>
#include <LibLog/Logging.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <iterator>
#include <optional>

namespace Http {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

/// How long requests in progress may take once the server stops.
static constexpr Core::Duration drainTime = std::chrono::milliseconds(1500);
static constexpr Core::Duration writeTime = std::chrono::seconds(5);
/// Thousands of callers may send at once, so each gets little room.
static constexpr std::size_t maxReceiveBytes = 8 * 1024;
/// Bounds what the system buffers for a connection. By default it would buffer up to some megabytes
/// for one that isn't read, which count toward the VM's memory. The system doubles the values.
static constexpr int systemReceiveBytes = 16 * 1024;
static constexpr int systemSendBytes = 32 * 1024;
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

namespace {

using Parser = http::request_parser<ReceivedBody>;

enum class Refusal {
    None,
    HeaderTooLarge,
    BodyTooLarge,
    Unreadable,
    MemoryShort,
    /// Gets no answer.
    Broken,
};

} // namespace

static Refusal refusalOf(const error_code &error)
{
    if (!error)
        return Refusal::None;
    if (error == http::error::header_limit)
        return Refusal::HeaderTooLarge;
    if (error == http::error::body_limit)
        return Refusal::BodyTooLarge;
    if (error == http::error::bad_method || error == http::error::bad_target
        || error == http::error::bad_version)
        return Refusal::Unreadable;
    return Refusal::Broken;
}

static ServerResponse refuse(Refusal refusal)
{
    if (refusal == Refusal::HeaderTooLarge)
        return makeResponse(431, "{\"error\":\"the header is too large\"}");
    if (refusal == Refusal::BodyTooLarge)
        return makeResponse(413, "{\"error\":\"the body is too large\"}");
    if (refusal == Refusal::Unreadable)
        return makeResponse(400, "{\"error\":\"unreadable request\"}");
    ServerResponse response = makeResponse(503, "{\"error\":\"not run: memory is short\"}");
    response.set(http::field::retry_after, "1");
    return response;
}

/// The bytes of a request that has been received in part.
static std::size_t heldBytes(const boost::beast::flat_buffer &buffer, const Parser &parser)
{
    return buffer.capacity() + parser.get().body().capacity();
}

static ServerRequest takeRequest(Parser &parser)
{
    http::request<ReceivedBody> received = parser.release();
    ServerRequest request(std::move(received.base()));
    request.body() = std::move(received.body());
    return request;
}

static boost::beast::flat_buffer::mutable_buffers_type freeRoom(boost::beast::flat_buffer &buffer)
{
    return buffer.prepare(buffer.capacity() - buffer.size());
}

static Refusal parseReceived(boost::beast::flat_buffer &buffer, Parser &parser,
                             const ServerLimits &limits)
{
    const bool hadHeader = parser.is_header_done();
    error_code error;
    buffer.consume(parser.put(buffer.data(), error));
    if (!hadHeader && parser.is_header_done()) {
        const auto &fields = parser.get().base();
        const auto count = static_cast<std::size_t>(std::distance(fields.begin(), fields.end()));
        if (count > limits.headerFields)
            return Refusal::HeaderTooLarge;
    }
    return error == http::error::need_more ? Refusal::None : refusalOf(error);
}

Server::Server(std::string name, const Endpoint &endpoint, RequestHandler &handler,
               const asio::any_io_executor &executor, std::size_t maxConnections,
               std::shared_ptr<MemoryBudget> budget)
    : m_name(std::move(name))
    , m_endpoint(endpoint)
    , m_handler(handler)
    , m_executor(executor)
    , m_maxConnections(maxConnections)
    , m_connections(std::make_shared<MemoryBudget::Group>(
          budget ? std::move(budget) : std::make_shared<MemoryBudget>()))
    , m_changed(executor)
{
}

asio::awaitable<void> Server::run()
{
    m_isStopping = false;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_endpoint.address),
                                           m_endpoint.port);
    m_acceptor = std::make_unique<asio::ip::tcp::acceptor>(m_executor, endpoint);
    // Accepted connections inherit them.
    m_acceptor->set_option(asio::socket_base::receive_buffer_size(systemReceiveBytes));
    m_acceptor->set_option(asio::socket_base::send_buffer_size(systemSendBytes));
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
        const std::size_t maxOpen = std::min(m_handler.limits().connections, m_maxConnections);
        if (m_connections->openConnections() >= maxOpen
            && !m_connections->closeLongestStalled(Core::steadyNow()))
            continue;
        socket.set_option(asio::ip::tcp::no_delay(true), error);
        auto stream = std::make_shared<Stream>(std::move(socket));
        asio::co_spawn(m_executor, serve(std::move(stream)), asio::detached);
    }
}

asio::awaitable<void> Server::serve(std::shared_ptr<Stream> stream)
{
    MemoryBudget::Connection connection(
        m_connections, [&stream] { stream->close(); }, Core::steadyNow());
    boost::beast::flat_buffer buffer;
    bool isKept = true;
    while (isKept && !m_isStopping)
        isKept = co_await serveOne(*stream, buffer, connection);
    error_code ignored;
    stream->socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    m_changed.wake();
}

asio::awaitable<bool> Server::serveOne(Stream &stream, boost::beast::flat_buffer &buffer,
                                       MemoryBudget::Connection &connection)
{
    const ServerLimits limits = m_handler.limits();
    std::optional<Parser> parser(std::in_place);
    parser->header_limit(limits.headerBytes);
    parser->body_limit(limits.bodyBytes);
    parser->eager(true);
    error_code error;
    ReceiveBuffer receiveBuffer(buffer, maxReceiveBytes);
    Core::Instant now = Core::steadyNow();
    if (buffer.size() == 0) {
        connection.becomeIdle(now);
        m_idle.insert(&stream);
        stream.expires_at(Core::toSteadyTimePoint(now + limits.idleTime));
        receiveBuffer.makeRoom(*parser);
        buffer.commit(co_await stream.async_read_some(
            freeRoom(buffer), asio::redirect_error(asio::use_awaitable, error)));
        m_idle.erase(&stream);
        if (error)
            co_return false;
        now = Core::steadyNow();
    }
    ++m_inProgress;
    std::size_t receivedBytes = buffer.size();
    connection.beginTransfer(now);
    stream.expires_at(Core::toSteadyTimePoint(now + limits.receiveTime));
    Refusal refusal = parseReceived(buffer, *parser, limits);
    if (refusal == Refusal::None
        && !connection.hold(heldBytes(buffer, *parser), receivedBytes, now))
        refusal = Refusal::MemoryShort;
    while (refusal == Refusal::None && !parser->is_done()) {
        receiveBuffer.makeRoom(*parser);
        const std::size_t bytes = co_await stream.async_read_some(
            freeRoom(buffer), asio::redirect_error(asio::use_awaitable, error));
        buffer.commit(bytes);
        receivedBytes += bytes;
        now = Core::steadyNow();
        refusal = error ? Refusal::Broken : parseReceived(buffer, *parser, limits);
        if (refusal == Refusal::None
            && !connection.hold(heldBytes(buffer, *parser), receivedBytes, now))
            refusal = Refusal::MemoryShort;
    }
    bool isKept = false;
    if (refusal != Refusal::Broken) {
        ServerResponse response;
        if (refusal == Refusal::None) {
            const bool wantsKeepAlive = parser->keep_alive();
            ServerRequest request = takeRequest(*parser);
            connection.beginAnswer(now);
            response = co_await answer(std::move(request));
            isKept = wantsKeepAlive && !m_isStopping && !m_isLeaving;
            now = Core::steadyNow();
        } else {
            response = refuse(refusal);
        }
        parser.reset();
        response.keep_alive(isKept);
        response.prepare_payload();
        connection.beginTransfer(now);
        // The request may have been carried out, so the response is sent even if memory is short.
        connection.hold(buffer.capacity() + response.body().size(), 0, now);
        stream.expires_at(Core::toSteadyTimePoint(now + writeTime));
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
