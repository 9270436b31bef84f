#pragma once

#include "HttpMessages.h"

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace Daemon {

/// The result of sending a request on a connection.
enum class ExchangeResult {
    /// The whole answer was received.
    Answered,
    /// No byte of the request was written.
    NotSent,
    /// Bytes were written, but no whole answer was received.
    Broken,
};

/// One HTTP connection to a backend server or to another entry VM. Carries one request at a time,
/// and isn't used again after a request without a whole answer.
class BackendConnection
{
public:
    BackendConnection(const boost::asio::any_io_executor &executor, Core::VmId server);

    const Core::VmId &server() const { return m_server; }
    Core::Instant openedAt() const { return m_openedAt; }

    /// Opens the connection. Returns false on failure.
    boost::asio::awaitable<bool> open(std::string address, std::uint16_t port);
    /// Writes \p request and reads the answer into `response()`. Calls \p onFirstByte once the
    /// header of the answer has been read.
    boost::asio::awaitable<ExchangeResult> exchange(const HttpRequest &request,
                                                    std::uint64_t largestBody,
                                                    std::function<void()> onFirstByte);
    HttpResponse &response() { return m_response; }

    /// True if the connection can carry another request.
    bool isReusable();
    /// Closes the connection immediately; a request in progress fails.
    void close();
    bool isClosedByUs() const { return m_isClosed; }

private:
    Core::VmId m_server;
    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    HttpResponse m_response;
    Core::Instant m_openedAt;
    bool m_isKeptAlive = true;
    bool m_isClosed = false;
};

} // namespace Daemon
