#include "Common/HttpServer.h"

#include "Common/HttpConnection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace StandIn {

namespace asio = boost::asio;
using boost::system::error_code;

HttpServer::HttpServer(asio::any_io_executor executor, std::uint16_t port, RequestHandler &handler)
    : m_executor(std::move(executor))
    , m_endpoint(asio::ip::address_v4::loopback(), port)
    , m_handler(handler)
{
    listen();
}

HttpServer::~HttpServer()
{
    setDown(true);
    for (HttpConnection *connection : m_connections)
        connection->forgetServer();
}

void HttpServer::listen()
{
    m_acceptor = std::make_shared<asio::ip::tcp::acceptor>(m_executor, m_endpoint);
    m_endpoint = m_acceptor->local_endpoint();
    asio::co_spawn(
        m_executor, [this, acceptor = m_acceptor] { return acceptAll(acceptor); }, asio::detached);
}

static asio::awaitable<void> serve(HttpServer &server, asio::ip::tcp::socket socket)
{
    HttpConnection connection(server, std::move(socket));
    co_await connection.run();
}

asio::awaitable<void> HttpServer::acceptAll(std::shared_ptr<asio::ip::tcp::acceptor> acceptor)
{
    while (acceptor->is_open()) {
        error_code error;
        asio::ip::tcp::socket socket(m_executor);
        co_await acceptor->async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (error || !acceptor->is_open())
            co_return;
        asio::co_spawn(m_executor, serve(*this, std::move(socket)), asio::detached);
    }
}

void HttpServer::setDown(bool isDown)
{
    if (isDown == (m_acceptor == nullptr))
        return;
    if (!isDown) {
        listen();
        return;
    }
    error_code ignored;
    m_acceptor->close(ignored);
    m_acceptor.reset();
    for (HttpConnection *connection : m_connections)
        connection->close();
}

void HttpServer::silenceOpenConnections()
{
    for (HttpConnection *connection : m_connections)
        connection->silence();
}

void HttpServer::add(HttpConnection *connection)
{
    m_connections.insert(connection);
    m_handler.connectionsChanged(m_connections.size());
}

void HttpServer::remove(HttpConnection *connection)
{
    m_connections.erase(connection);
    m_handler.connectionsChanged(m_connections.size());
}

} // namespace StandIn
