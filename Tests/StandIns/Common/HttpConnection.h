#pragma once

#include "Common/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace StandIn {

/// One connection to a stand-in server.
class HttpConnection
{
public:
    HttpConnection(HttpServer &server, boost::asio::ip::tcp::socket socket);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    boost::asio::awaitable<void> run();

    /// From now on the connection sends no response.
    void silence() { m_isSilent = true; }
    void close();
    /// Called if the server is destroyed before the connection.
    void forgetServer() { m_server = nullptr; }

private:
    boost::asio::awaitable<bool> serveOne();
    boost::asio::awaitable<Reply> act(Request request, Faults faults);
    boost::asio::awaitable<bool> write(Reply reply, bool isTruncated);
    boost::asio::awaitable<void> wait(std::chrono::milliseconds time);

    HttpServer *m_server;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    bool m_isSilent = false;
};

} // namespace StandIn
