#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

/// A number of connections that each send the same bytes and read nothing.
class HostileClients
{
public:
    HostileClients(const boost::asio::ip::tcp::endpoint &endpoint, std::size_t count);

    /// Sends \p bytes on each connection, in parts and as far as the server takes them, for at most
    /// \p time.
    void send(const std::string &bytes, std::chrono::milliseconds time);
    void closeAll() { m_sockets.clear(); }

private:
    boost::asio::io_context m_context;
    std::vector<boost::asio::ip::tcp::socket> m_sockets;
};

/// The status of one ordinary request on a new connection, 0 if it isn't answered within 2 s.
unsigned requestStatus(const boost::asio::ip::tcp::endpoint &endpoint, const std::string &method,
                       const std::string &target, const std::string &body = "");
