#include "Common/HttpConnection.h"

#include <LibCore/Error.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <sstream>

namespace StandIn {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

static constexpr std::uint64_t maximumBodyBytes = 4 * 1024 * 1024;

static auto awaitInto(error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

static void splitTarget(const std::string &target, Request &request)
{
    const std::size_t mark = target.find('?');
    request.path = target.substr(0, mark);
    if (mark == std::string::npos)
        return;
    std::istringstream pairs(target.substr(mark + 1));
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
        const std::size_t equals = pair.find('=');
        request.query[pair.substr(0, equals)]
            = equals == std::string::npos ? "" : pair.substr(equals + 1);
    }
}

static Request decode(const http::request<http::string_body> &message)
{
    Request request;
    request.method = std::string(message.method_string());
    splitTarget(std::string(message.target()), request);
    for (const auto &field : message) {
        std::string name(field.name_string());
        std::transform(name.begin(), name.end(), name.begin(),
                       [](char character) { return static_cast<char>(std::tolower(character)); });
        request.headers[name] = std::string(field.value());
    }
    request.body = message.body();
    return request;
}

static std::string encode(const Reply &reply)
{
    http::response<http::string_body> message { static_cast<http::status>(reply.status), 11 };
    for (const auto &[name, value] : reply.headers)
        message.set(name, value);
    message.body() = reply.body;
    message.prepare_payload();
    std::ostringstream text;
    text << message;
    return text.str();
}

HttpConnection::HttpConnection(HttpServer &server, asio::ip::tcp::socket socket)
    : m_server(&server)
    , m_stream(std::move(socket))
{
    error_code ignored;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    m_server->add(this);
}

HttpConnection::~HttpConnection()
{
    if (m_server)
        m_server->remove(this);
}

asio::awaitable<void> HttpConnection::run()
{
    // GCC 12 miscompiles a loop that awaits in its condition and has an empty body.
    bool isOpen = true;
    while (isOpen)
        isOpen = co_await serveOne();
}

asio::awaitable<bool> HttpConnection::serveOne()
{
    error_code error;
    http::request_parser<http::string_body> parser;
    parser.body_limit(maximumBodyBytes);
    co_await http::async_read(m_stream, m_buffer, parser, awaitInto(error));
    if (error)
        co_return false;
    Request request = decode(parser.get());
    const bool isKeptAlive = parser.get().keep_alive();
    const Faults faults = m_server->handler().faultsFor(request);
    if (faults.isDown)
        co_return false;
    if (faults.isFrozen)
        silence();
    if (m_isSilent)
        co_return true;
    Reply reply = co_await act(std::move(request), faults);
    if (faults.losesAnswers)
        co_return false;
    if (m_isSilent)
        co_return true;
    if (!co_await write(std::move(reply), faults.truncatesBodies))
        co_return false;
    co_return isKeptAlive;
}

asio::awaitable<Reply> HttpConnection::act(Request request, Faults faults)
{
    if (faults.failsFast)
        co_return Reply::error(500, "told to fail");
    if (faults.delay.count() > 0)
        co_await wait(faults.delay);
    try {
        co_return co_await m_server->handler().handle(std::move(request));
    } catch (const Core::FormatError &error) {
        co_return Reply::error(400, error.what());
    }
}

asio::awaitable<bool> HttpConnection::write(Reply reply, bool isTruncated)
{
    error_code error;
    std::string text = encode(reply);
    if (isTruncated)
        text.resize(text.size() - (reply.body.size() + 1) / 2);
    co_await asio::async_write(m_stream, asio::buffer(text), awaitInto(error));
    co_return !error && !isTruncated;
}

asio::awaitable<void> HttpConnection::wait(std::chrono::milliseconds time)
{
    error_code ignored;
    asio::steady_timer timer(m_stream.get_executor(), time);
    co_await timer.async_wait(awaitInto(ignored));
}

void HttpConnection::close()
{
    error_code ignored;
    m_stream.socket().close(ignored);
}

} // namespace StandIn
