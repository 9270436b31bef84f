#include <utility>

#include "BackendConnection.h"

#include <LibCore/SteadyClock.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace Daemon {

namespace asio = boost::asio;
namespace http = boost::beast::http;

BackendConnection::BackendConnection(const asio::any_io_executor &executor, Core::VmId server)
    : m_server(std::move(server))
    , m_socket(executor)
    , m_openedAt(Core::steadyNow())
{
}

asio::awaitable<bool> BackendConnection::open(std::string address, std::uint16_t port)
{
    boost::system::error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error)
        co_return false;
    co_await m_socket.async_connect({ ip, port }, asio::redirect_error(asio::use_awaitable, error));
    if (error || m_isClosed)
        co_return false;
    m_socket.set_option(asio::ip::tcp::no_delay(true), error);
    co_return true;
}

asio::awaitable<ExchangeResult> BackendConnection::exchange(const HttpRequest &request,
                                                            std::uint64_t largestBody,
                                                            std::function<void()> onFirstByte)
{
    m_response = {};
    m_isKeptAlive = false;
    boost::system::error_code error;
    const std::size_t written = co_await http::async_write(
        m_socket, request, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return written == 0 ? ExchangeResult::NotSent : ExchangeResult::Broken;
    http::response_parser<http::string_body> parser;
    parser.body_limit(largestBody);
    if (request.method() == http::verb::head)
        parser.skip(true);
    co_await http::async_read_header(m_socket, m_buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error || m_isClosed)
        co_return ExchangeResult::Broken;
    onFirstByte();
    // The end of such a body isn't marked, so a truncated one couldn't be told from a whole one.
    if (parser.need_eof())
        co_return ExchangeResult::Broken;
    if (!parser.is_done())
        co_await http::async_read(m_socket, m_buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
    if (error || m_isClosed)
        co_return ExchangeResult::Broken;
    m_isKeptAlive = parser.keep_alive() && m_buffer.size() == 0;
    m_response = parser.release();
    co_return ExchangeResult::Answered;
}

bool BackendConnection::isReusable()
{
    if (m_isClosed || !m_isKeptAlive)
        return false;
    // An idle connection is readable only if its server has closed it.
    boost::system::error_code error;
    m_socket.non_blocking(true, error);
    char byte = 0;
    m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

void BackendConnection::close()
{
    m_isClosed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

} // namespace Daemon
