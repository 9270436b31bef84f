#pragma once

#include "FrameBuffer.h"
#include "PendingCall.h"

#include <LibCore/Time.h>

#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace Peer {

/// The client side of one connection: a bounded queue of requests to write, the calls that wait for
/// their responses, and heartbeats while the connection is idle.
///
/// A response is assigned to the call with the same id that was sent on this connection. Ids are
/// never reused, so a late response doesn't match any call and is dropped.
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    /// \p nextId is shared by all connections to the peer.
    PeerConnection(boost::asio::ip::tcp::socket socket, std::shared_ptr<std::uint64_t> nextId);

    /// Reads responses until the connection is closed, times out or receives a malformed message.
    boost::asio::awaitable<void> run();

    /// Queues a request. Returns nullptr if the request is too long, the queue is full or the
    /// connection is closed.
    std::shared_ptr<PendingCall> send(const std::string &method, const Json::Value &parameters,
                                      Core::Instant deadline);

    /// Removes \p call after it was completed or its deadline has passed.
    void removeCall(const std::shared_ptr<PendingCall> &call);

    void close(const std::string &reason);

    bool hasReceivedBytes() const { return m_hasReceivedBytes; }

private:
    std::shared_ptr<PendingCall> makeCall(const std::string &method, const Json::Value &parameters);
    void enqueue(const std::shared_ptr<PendingCall> &call);
    void writeNext();
    void handleResponse(const std::string &frame);
    void scheduleHeartbeat();
    void sendHeartbeatIfIdle();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_heartbeatTimer;
    std::shared_ptr<std::uint64_t> m_nextId;
    FrameBuffer m_frames;
    std::deque<std::shared_ptr<PendingCall>> m_queue;
    std::size_t m_queuedBytes = 0;
    std::map<std::uint64_t, std::shared_ptr<PendingCall>> m_pending;
    Core::Instant m_lastReceivedAt;
    bool m_hasReceivedBytes = false;
    bool m_isWriting = false;
    bool m_isClosed = false;
};

} // namespace Peer
