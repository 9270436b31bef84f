#pragma once

#include "Common/RequestHandler.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <set>

namespace StandIn {

class HttpConnection;

/// An HTTP/1.1 server on the loopback interface with fault injection. The server and its handler
/// must outlive the run of the executor's context.
class HttpServer
{
public:
    /// Port 0 selects any free port. \throws boost::system::system_error
    HttpServer(boost::asio::any_io_executor executor, std::uint16_t port, RequestHandler &handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::uint16_t port() const { return m_endpoint.port(); }

    /// While the server is down it refuses connections. Open connections are closed.
    void setDown(bool isDown);

    /// The connections that are open now never send a response again.
    void silenceOpenConnections();

    RequestHandler &handler() { return m_handler; }
    void add(HttpConnection *connection);
    void remove(HttpConnection *connection);

private:
    void listen();
    boost::asio::awaitable<void>
    acceptAll(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor);

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_endpoint;
    RequestHandler &m_handler;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::set<HttpConnection *> m_connections;
};

} // namespace StandIn
