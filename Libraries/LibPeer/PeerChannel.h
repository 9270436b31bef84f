#pragma once

#include "PeerConnection.h"

#include <LibPeer/PeerAddress.h>

#include <set>

namespace Peer {

/// Keeps one connection to one peer up.
class PeerChannel : public std::enable_shared_from_this<PeerChannel>
{
public:
    PeerChannel(boost::asio::any_io_executor executor, PeerAddress address);

    /// Begins to connect. Called once.
    void start();
    void stop();

    /// As PeerClient::call().
    boost::asio::awaitable<Json::Value> call(std::string method, Json::Value parameters,
                                             Core::Instant deadline);

    const PeerAddress &address() const { return m_address; }

private:
    class Waiter;

    boost::asio::awaitable<void> keepConnected();
    /// Leaves m_connection empty and sets m_reason if the peer can't be reached.
    boost::asio::awaitable<void> connect();
    boost::asio::awaitable<void> pause();
    boost::asio::awaitable<std::shared_ptr<PeerConnection>> connected(std::string method,
                                                                      Core::Instant deadline);
    Json::Value result(const std::string &method, const PendingCall &call) const;
    void wakeWaiters();

    boost::asio::any_io_executor m_executor;
    PeerAddress m_address;
    std::shared_ptr<std::uint64_t> m_nextId = std::make_shared<std::uint64_t>(1);
    std::shared_ptr<PeerConnection> m_connection;
    std::set<Waiter *> m_waiters;
    boost::asio::steady_timer m_pauseTimer;
    Core::Duration m_reconnectDelay;
    /// Why the peer can't be reached; empty while a connection stands or is being opened.
    std::string m_reason;
    bool m_isStopped = false;
};

} // namespace Peer
