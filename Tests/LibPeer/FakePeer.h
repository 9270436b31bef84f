#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <json/value.h>

#include <functional>
#include <string>

/// A server whose responses to all requests, including heartbeats, are determined by the test.
class FakePeer
{
public:
    /// Returns the bytes to send for a request. Connections are numbered from 1.
    using ResponseScript = std::function<std::string(int connection, const Json::Value &request)>;

    FakePeer(boost::asio::io_context &context, ResponseScript script);

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    int connectionCount() const { return m_connectionCount; }

    /// If false, nothing is read from new connections.
    bool isReading = true;

private:
    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket, int number);

    boost::asio::ip::tcp::acceptor m_acceptor;
    ResponseScript m_responseScript;
    int m_connectionCount = 0;
};

/// Returns a well-formed response to \p request.
std::string responseTo(const Json::Value &request, const Json::Value &result);
