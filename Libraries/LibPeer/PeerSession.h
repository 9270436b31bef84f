#pragma once

#include "FrameBuffer.h"
#include "PeerDispatcher.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <string>

namespace Peer {

/// The server side of one connection. Requests are executed one at a time, and the next one is read
/// only after the response has been written. So a peer that doesn't read its responses isn't
/// served.
class PeerSession
{
public:
    PeerSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<PeerDispatcher> dispatcher);

    /// Serves requests until the connection is closed, times out or receives a malformed message.
    boost::asio::awaitable<void> run();

    void stop();

private:
    boost::asio::awaitable<bool> receive();
    boost::asio::awaitable<bool> writeResponse(std::string text);

    boost::beast::tcp_stream m_stream;
    std::shared_ptr<PeerDispatcher> m_dispatcher;
    FrameBuffer m_frames;
    bool m_isWriting = false;
    bool m_isStopping = false;
};

} // namespace Peer
