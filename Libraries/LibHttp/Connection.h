#pragma once

#include "AnswerParser.h"
#include "ConnectionSlot.h"

#include <LibHttp/Client.h>
#include <LibHttp/Deadline.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <memory>
#include <string>

namespace Http {

/// One TCP connection to an HTTP endpoint, serving one call at a time.
class Connection
{
public:
    Connection(const boost::asio::any_io_executor &executor, std::shared_ptr<DeadlineWatch> watch,
               ConnectionSlot slot, ConnectionNumber number);
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
    using ErrorCode = boost::system::error_code;

    /// Sets the deadline of what comes next.
    void beginUntil(Core::Instant deadline);
    /// The reason for which an operation failed.
    std::string describe(const ErrorCode &error) const;
    /// Sends what the system takes at once. Returns the number of bytes.
    std::size_t sendNow(const std::string &head, const std::string &body, ErrorCode &error);
    /// Sends the bytes after the first \p sentBytes.
    boost::asio::awaitable<std::size_t> sendRest(const std::string &head, const std::string &body,
                                                 std::size_t sentBytes, ErrorCode &error);
    /// Parses what has been received. Returns true if the message isn't complete yet.
    bool needsMore(AnswerParser &parser, ErrorCode &error);
    void extendDeadline(Core::Instant deadline);
    Answer takeAnswer(AnswerParser &parser) const;

    /// Destroyed after the socket.
    ConnectionSlot m_slot;
    ConnectionNumber m_number;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    Deadline m_deadline;
    bool m_isExpired = false;
};

} // namespace Http
