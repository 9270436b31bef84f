#pragma once

#include "ConnectionSlot.h"

#include <LibHttp/Client.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace Http {

/// One TCP connection to an HTTP endpoint, serving one call at a time.
class Connection
{
public:
    Connection(const boost::asio::any_io_executor &executor, ConnectionSlot slot,
               ConnectionNumber number);
    /// Closes immediately and discards what the system hasn't sent yet, so that an abandoned call
    /// isn't delivered much later.
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    ConnectionNumber number() const { return m_number; }

    /// \throws Core::NotDoneError if no connection is established before \p deadline.
    boost::asio::awaitable<void> connect(const boost::asio::ip::tcp::endpoint &endpoint,
                                         const Request &request, const std::string &peer,
                                         Core::Instant deadline);

    /// Sends \p request and reads the complete answer.
    /// \throws Core::NotDoneError if nothing was sent.
    /// \throws Core::OutcomeUnknownError if no complete answer arrived before \p deadline or, for a
    /// long one, within the limits of `Client`.
    boost::asio::awaitable<Answer> exchange(const Request &request, const std::string &peer,
                                            Core::Instant deadline);

    /// True if the server has neither closed the idle connection nor sent unexpected bytes on it.
    bool isQuiet();

private:
    boost::asio::awaitable<void> send(const Request &request, const std::string &peer);
    boost::asio::awaitable<Answer> receive(const Request &request, const std::string &peer,
                                           Core::Instant deadline);

    /// Destroyed after the socket.
    ConnectionSlot m_slot;
    ConnectionNumber m_number;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
};

} // namespace Http
