#pragma once

#include "FrameBuffer.h"
#include "PeerDispatcher.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <string>

namespace Peer {

/// The server's side of one connection. It carries out one request after the other, and reads no
/// further one before an answer is written: a peer that doesn't read its answers isn't served.
class PeerSession
{
public:
    PeerSession(boost::asio::ip::tcp::socket socket, std::shared_ptr<PeerDispatcher> dispatcher);

    /// Serves until the connection ends, falls silent or brings a malformed message.
    boost::asio::awaitable<void> run();

    void stop();

private:
    boost::asio::awaitable<bool> receive();
    boost::asio::awaitable<bool> answer(std::string text);

    boost::beast::tcp_stream m_stream;
    std::shared_ptr<PeerDispatcher> m_dispatcher;
    FrameBuffer m_frames;
    bool m_isWriting = false;
    bool m_isStopping = false;
};

} // namespace Peer
