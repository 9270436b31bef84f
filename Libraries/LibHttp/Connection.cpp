#include "Connection.h"

#include "ReceiveBuffer.h"

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>

namespace Http {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

static constexpr std::size_t maxReceiveBytes = 64 * 1024;
/// Space for the request line and the fields of a usual request, in bytes.
static constexpr std::size_t usualHeadBytes = 256;

static auto awaitInto(error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

static void addField(std::string &head, std::string_view name, std::string_view value)
{
    head.append(name).append(": ").append(value).append("\r\n");
}

/// Returns the request line and the fields. Building a message object with a container of fields
/// first would allocate for each of them.
static std::string encodeHead(const Request &request, const std::string &peer,
                              std::size_t bodyBytes)
{
    const bool isPost = request.method == Method::Post;
    std::string head;
    head.reserve(usualHeadBytes);
    head.append(isPost ? "POST " : "GET ").append(request.target).append(" HTTP/1.1\r\n");
    addField(head, "Host", peer);
    for (const HeaderField &field : request.fields)
        addField(head, field.name, field.value);
    if (isPost) {
        addField(head, "Content-Type", request.contentType);
        addField(head, "Content-Length", std::to_string(bodyBytes));
    }
    return head.append("\r\n");
}

static std::array<asio::const_buffer, 2> buffersOf(const std::string &head, const std::string &body)
{
    return { asio::buffer(head), asio::buffer(body) };
}

Connection::Connection(const asio::any_io_executor &executor, std::shared_ptr<DeadlineWatch> watch,
                       ConnectionSlot slot, ConnectionNumber number)
    : m_slot(std::move(slot))
    , m_number(number)
    , m_socket(executor)
    , m_deadline(std::move(watch), [this] {
        m_isExpired = true;
        error_code ignored;
        m_socket.cancel(ignored);
    })
{
}

Connection::~Connection()
{
    error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

void Connection::beginUntil(Core::Instant deadline)
{
    m_isExpired = false;
    m_deadline.set(deadline);
}

std::string Connection::describe(const error_code &error) const
{
    return m_isExpired ? "the deadline has passed" : error.message();
}

asio::awaitable<void> Connection::connect(const asio::ip::tcp::endpoint &endpoint,
                                          const Request &request, const std::string &peer,
                                          Core::Instant deadline)
{
    error_code error;
    m_socket.open(endpoint.protocol(), error);
    if (!error) {
        beginUntil(deadline);
        co_await m_socket.async_connect(endpoint, awaitInto(error));
        m_deadline.clear();
    }
    if (!error)
        m_socket.set_option(asio::ip::tcp::no_delay(true), error);
    // isQuiet() and sendNow() rely on it.
    if (!error)
        m_socket.non_blocking(true, error);
    if (error || m_isExpired)
        throw Core::NotDoneError(request.step, peer, "connect: " + describe(error));
}

std::size_t Connection::sendNow(const std::string &head, const std::string &body, error_code &error)
{
    const std::size_t sentBytes = m_socket.write_some(buffersOf(head, body), error);
    if (error == asio::error::would_block)
        error = {};
    return sentBytes;
}

asio::awaitable<std::size_t> Connection::sendRest(const std::string &head, const std::string &body,
                                                  std::size_t sentBytes, error_code &error)
{
    const auto buffers = buffersOf(head, body);
    boost::beast::buffers_suffix<std::array<asio::const_buffer, 2>> rest(buffers);
    rest.consume(sentBytes);
    const std::size_t restBytes = co_await asio::async_write(m_socket, rest, awaitInto(error));
    co_return sentBytes + restBytes;
}

bool Connection::needsMore(AnswerParser &parser, error_code &error)
{
    const std::size_t parsedBytes = parser.put(m_buffer.data(), error);
    m_buffer.consume(parsedBytes);
    if (error == http::error::need_more)
        error = {};
    return !error && !parser.is_done();
}

void Connection::extendDeadline(Core::Instant deadline)
{
    const Core::Instant latest = deadline + Client::longestFlow;
    const Core::Instant flowing = Core::steadyNow() + Client::longestPause;
    m_deadline.set(std::min(std::max(deadline, flowing), latest));
}

asio::awaitable<Answer> Connection::exchange(const Request &request, const std::string &peer,
                                             Core::Instant deadline)
{
    const std::string body = request.encodeBody ? request.encodeBody() : std::string();
    const std::string head = encodeHead(request, peer, body.size());
    error_code error;
    beginUntil(deadline);
    std::size_t sentBytes = sendNow(head, body, error);
    if (!error && sentBytes < head.size() + body.size())
        sentBytes = co_await sendRest(head, body, sentBytes, error);
    if (error && sentBytes == 0)
        throw Core::NotDoneError(request.step, peer, "send: " + describe(error));
    if (error)
        throw Core::OutcomeUnknownError(request.step, peer, "send: " + describe(error));

    AnswerParser parser;
    parser.eager(true);
    parser.body_limit(Client::maximumBodyBytes);
    ReceiveBuffer receiveBuffer(m_buffer, maxReceiveBytes);
    bool isIncomplete = true;
    while (isIncomplete) {
        receiveBuffer.makeRoom(parser);
        const auto room = m_buffer.prepare(m_buffer.capacity() - m_buffer.size());
        const std::size_t bytes = co_await m_socket.async_read_some(room, awaitInto(error));
        m_buffer.commit(bytes);
        if (!error)
            isIncomplete = needsMore(parser, error);
        if (error || (isIncomplete && m_isExpired))
            throw Core::OutcomeUnknownError(request.step, peer, "receive: " + describe(error));
        // A body that only ends with the connection could be cut short without anybody noticing.
        if (parser.is_header_done() && parser.need_eof())
            throw Core::OutcomeUnknownError(request.step, peer, "the answer announces no length");
        if (isIncomplete && request.isAnswerLong)
            extendDeadline(deadline);
    }
    m_deadline.clear();
    co_return takeAnswer(parser);
}

Answer Connection::takeAnswer(AnswerParser &parser) const
{
    Answer answer;
    answer.status = parser.status();
    answer.connection = m_number;
    answer.isReusable = parser.keep_alive() && m_buffer.size() == 0;
    answer.body = parser.takeBody();
    return answer;
}

bool Connection::isQuiet()
{
    error_code error;
    std::array<char, 1> byte {};
    m_socket.receive(asio::buffer(byte), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace Http
