#pragma once

#include "PeerConnection.h"

#include <LibPeer/PeerAddress.h>

#include <set>

namespace Peer {

/// Maintains the connection to one peer, and reconnects after failures.
class PeerChannel : public std::enable_shared_from_this<PeerChannel>
{
public:
    PeerChannel(boost::asio::any_io_executor executor, PeerAddress address);

    /// Starts connecting. Must be called only once.
    void start();
    void stop();

    /// See PeerClient::call().
    boost::asio::awaitable<Json::Value> call(std::string method, Json::Value parameters,
                                             Core::Instant deadline);

    const PeerAddress &address() const { return m_address; }

private:
    class Waiter;

    boost::asio::awaitable<void> maintainConnection();
    /// Leaves m_connection empty and sets m_unavailableReason if the peer can't be reached.
    boost::asio::awaitable<void> connect();
    boost::asio::awaitable<void> waitBeforeReconnect();
    boost::asio::awaitable<std::shared_ptr<PeerConnection>>
    waitForConnection(std::string method, Core::Instant deadline);
    Json::Value resultOf(const std::string &method, const PendingCall &call) const;
    void wakeWaiters();

    boost::asio::any_io_executor m_executor;
    PeerAddress m_address;
    std::shared_ptr<std::uint64_t> m_nextId = std::make_shared<std::uint64_t>(1);
    std::shared_ptr<PeerConnection> m_connection;
    std::set<Waiter *> m_waiters;
    boost::asio::steady_timer m_reconnectTimer;
    Core::Duration m_reconnectDelay;
    /// Why the last attempt to connect failed, or that the peer was removed. Empty before the first
    /// attempt and after a successful one.
    std::string m_unavailableReason;
    bool m_isStopped = false;
};

} // namespace Peer
