#include "Connection.h"

#include "ReceiveBuffer.h"

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>

namespace Http {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

static constexpr std::size_t maxReceiveBytes = 64 * 1024;

static auto awaitInto(error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

static http::request<http::string_body> encode(const Request &request, const std::string &peer)
{
    const auto verb = request.method == Method::Get ? http::verb::get : http::verb::post;
    http::request<http::string_body> message { verb, request.target, 11 };
    message.set(http::field::host, peer);
    for (const HeaderField &field : request.fields)
        message.set(field.name, field.value);
    if (request.method == Method::Post) {
        message.set(http::field::content_type, request.contentType);
        if (request.encodeBody)
            message.body() = request.encodeBody();
    }
    message.prepare_payload();
    return message;
}

Connection::Connection(const asio::any_io_executor &executor, ConnectionSlot slot,
                       ConnectionNumber number)
    : m_slot(std::move(slot))
    , m_number(number)
    , m_stream(executor)
{
}

Connection::~Connection()
{
    error_code ignored;
    m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    m_stream.socket().close(ignored);
}

asio::awaitable<void> Connection::connect(const asio::ip::tcp::endpoint &endpoint,
                                          const Request &request, const std::string &peer,
                                          Core::Instant deadline)
{
    error_code error;
    m_stream.expires_at(Core::toSteadyTimePoint(deadline));
    co_await m_stream.async_connect(endpoint, awaitInto(error));
    if (error)
        throw Core::NotDoneError(request.step, peer, "connect: " + error.message());
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), error);
    // isQuiet() relies on it.
    m_stream.socket().non_blocking(true, error);
    if (error)
        throw Core::NotDoneError(request.step, peer, "connect: " + error.message());
}

asio::awaitable<Answer> Connection::exchange(const Request &request, const std::string &peer,
                                             Core::Instant deadline)
{
    m_stream.expires_at(Core::toSteadyTimePoint(deadline));
    co_await send(request, peer);
    Answer answer = co_await receive(request, peer, deadline);
    m_stream.expires_never();
    co_return answer;
}

asio::awaitable<void> Connection::send(const Request &request, const std::string &peer)
{
    error_code error;
    const auto message = encode(request, peer);
    const std::size_t sentBytes = co_await http::async_write(m_stream, message, awaitInto(error));
    if (!error)
        co_return;
    if (sentBytes == 0)
        throw Core::NotDoneError(request.step, peer, "send: " + error.message());
    throw Core::OutcomeUnknownError(request.step, peer, "send: " + error.message());
}

asio::awaitable<Answer> Connection::receive(const Request &request, const std::string &peer,
                                            Core::Instant deadline)
{
    error_code error;
    http::response_parser<http::string_body> parser;
    parser.body_limit(Client::maximumBodyBytes);
    const Core::Instant latest = deadline + Client::longestFlow;
    ReceiveBuffer receiveBuffer(m_buffer, maxReceiveBytes);
    while (!error && !parser.is_done()) {
        receiveBuffer.makeRoom(parser);
        co_await http::async_read_some(m_stream, m_buffer, parser, awaitInto(error));
        if (!request.isAnswerLong)
            continue;
        const Core::Instant flowing = Core::steadyNow() + Client::longestPause;
        m_stream.expires_at(Core::toSteadyTimePoint(std::min(std::max(deadline, flowing), latest)));
    }
    if (error)
        throw Core::OutcomeUnknownError(request.step, peer, "receive: " + error.message());
    // A body that only ends with the connection could be cut short without anybody noticing.
    if (parser.get().need_eof())
        throw Core::OutcomeUnknownError(request.step, peer, "the answer announces no length");
    Answer answer;
    answer.status = parser.get().result_int();
    answer.connection = m_number;
    answer.isReusable = parser.get().keep_alive() && m_buffer.size() == 0;
    answer.body = std::move(parser.get().body());
    co_return answer;
}

bool Connection::isQuiet()
{
    error_code error;
    std::array<char, 1> byte {};
    m_stream.socket().receive(asio::buffer(byte), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

} // namespace Http
