#pragma once

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <json/value.h>

#include <functional>
#include <string>

/// A peer whose answers the test makes up byte by byte. Heartbeats are answered unless it is told
/// not to.
class FakePeer
{
public:
    /// Gets the number of the connection, from 1, and a request; returns the bytes to send.
    using Script = std::function<std::string(int connection, const Json::Value &request)>;

    FakePeer(boost::asio::io_context &context, Script script);

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    int connections() const { return m_connections; }

    /// While false nothing is read from new connections.
    bool isReading = true;

private:
    boost::asio::awaitable<void> acceptAll();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket, int number);

    boost::asio::ip::tcp::acceptor m_acceptor;
    Script m_script;
    int m_connections = 0;
};

/// A well-formed answer to \p request.
std::string answerTo(const Json::Value &request, const Json::Value &result);
