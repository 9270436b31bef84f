#include "RestartingWorker.h"

#include <LibCore/Json.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <json/value.h>

#include <chrono>

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

RestartingWorker::RestartingWorker(asio::io_context &context)
    : m_acceptor(context, { asio::ip::address_v4::loopback(), 0 })
{
    asio::co_spawn(context, accept(), asio::detached);
}

std::string RestartingWorker::address() const
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

void RestartingWorker::restart()
{
    ++m_processStartUnixMs;
    for (const auto &connection : m_connections) {
        error_code ignored;
        connection->set_option(asio::socket_base::linger(true, 0), ignored);
        connection->close(ignored);
    }
    m_connections.clear();
}

std::string RestartingWorker::report() const
{
    return R"({"clockMs":1,"born":)" + std::to_string(m_processStartUnixMs)
        + R"(,"running":[],"ended":[]})";
}

void RestartingWorker::note(const std::string &path, const std::string &body)
{
    if (path == "/run-start") {
        m_starts.push_back(m_processStartUnixMs);
        return;
    }
    const Json::Value renewal = Core::Json::parse(body, "renewal");
    m_renewals.push_back(
        { m_processStartUnixMs, renewal["lastSeen"].asInt64(), renewal["expiresMs"].asInt64() });
}

asio::awaitable<void> RestartingWorker::accept()
{
    while (true) {
        const auto socket
            = std::make_shared<tcp::socket>(co_await m_acceptor.async_accept(asio::use_awaitable));
        m_connections.insert(socket);
        asio::co_spawn(m_acceptor.get_executor(), serve(socket), asio::detached);
    }
}

asio::awaitable<void> RestartingWorker::serve(std::shared_ptr<Socket> socket)
{
    boost::beast::flat_buffer buffer;
    error_code error;
    while (true) {
        http::request<http::string_body> request;
        co_await http::async_read(*socket, buffer, request,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error || !m_connections.contains(socket))
            break;
        note(std::string(request.target()), request.body());
        const bool isLast = m_callsUntilRestart > 0 && --m_callsUntilRestart == 0;
        if (isLast) {
            restart();
            break;
        }
        if (std::exchange(m_breaksNextConnection, false))
            break;
        const bool isHeld = std::exchange(m_holdsNextRenewal, false);
        while (isHeld && m_holdsAnswer) {
            asio::steady_timer pause(m_acceptor.get_executor(), std::chrono::milliseconds(5));
            co_await pause.async_wait(asio::use_awaitable);
        }
        http::response<http::string_body> response(http::status::ok, 11);
        response.body() = report();
        response.prepare_payload();
        co_await http::async_write(*socket, response,
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    m_connections.erase(socket);
}
