#include "PeerChannel.h"

#include "PeerLimits.h"

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>
#include <LibPeer/RemoteError.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>

namespace Peer {

namespace asio = boost::asio;
using boost::system::error_code;

static auto awaitInto(error_code &error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

/// A call that waits for a connection. It removes itself from the channel's set even if its
/// coroutine is destroyed while it waits.
class PeerChannel::Waiter
{
public:
    Waiter(PeerChannel &channel, Core::Instant deadline)
        : m_channel(channel)
        , m_timer(channel.m_executor, Core::toSteadyTimePoint(deadline))
    {
        m_channel.m_waiters.insert(this);
    }
    ~Waiter() { m_channel.m_waiters.erase(this); }
    Waiter(const Waiter &) = delete;
    Waiter &operator=(const Waiter &) = delete;

    asio::steady_timer &timer() { return m_timer; }

private:
    PeerChannel &m_channel;
    asio::steady_timer m_timer;
};

PeerChannel::PeerChannel(asio::any_io_executor executor, PeerAddress address)
    : m_executor(std::move(executor))
    , m_address(std::move(address))
    , m_reconnectTimer(m_executor)
    , m_reconnectDelay(minimumReconnectDelay)
{
}

void PeerChannel::start()
{
    asio::co_spawn(
        m_executor, [self = shared_from_this()] { return self->maintainConnection(); },
        asio::detached);
}

void PeerChannel::stop()
{
    m_isStopped = true;
    m_unavailableReason = "the peer was removed";
    m_reconnectTimer.cancel();
    if (m_connection)
        m_connection->close(m_unavailableReason);
    wakeWaiters();
}

asio::awaitable<void> PeerChannel::maintainConnection()
{
    while (!m_isStopped) {
        co_await connect();
        wakeWaiters();
        if (m_connection) {
            co_await m_connection->run();
            if (m_connection->hasReceivedBytes())
                m_reconnectDelay = minimumReconnectDelay;
            m_connection.reset();
        }
        co_await waitBeforeReconnect();
    }
}

asio::awaitable<void> PeerChannel::connect()
{
    error_code error;
    const auto ip = asio::ip::make_address(m_address.address, error);
    if (!error) {
        boost::beast::tcp_stream stream(m_executor);
        stream.expires_after(connectTimeout);
        const asio::ip::tcp::endpoint endpoint(ip, m_address.port);
        co_await stream.async_connect(endpoint, awaitInto(error));
        if (!error && !m_isStopped)
            m_connection = std::make_shared<PeerConnection>(stream.release_socket(), m_nextId);
    }
    if (!m_isStopped)
        m_unavailableReason = error ? "connect: " + error.message() : "";
}

asio::awaitable<void> PeerChannel::waitBeforeReconnect()
{
    if (m_isStopped)
        co_return;
    error_code ignored;
    m_reconnectTimer.expires_after(m_reconnectDelay);
    m_reconnectDelay = std::min(2 * m_reconnectDelay, maximumReconnectDelay);
    co_await m_reconnectTimer.async_wait(awaitInto(ignored));
}

void PeerChannel::wakeWaiters()
{
    for (Waiter *waiter : m_waiters)
        waiter->timer().cancel();
}

asio::awaitable<std::shared_ptr<PeerConnection>>
PeerChannel::waitForConnection(std::string method, Core::Instant deadline)
{
    while (true) {
        if (Core::steadyNow() >= deadline)
            throw Core::NotDoneError(method, m_address.peer.text(),
                                     "no connection before the deadline");
        if (!m_unavailableReason.empty())
            throw Core::NotDoneError(method, m_address.peer.text(), m_unavailableReason);
        if (m_connection)
            co_return m_connection;
        error_code ignored;
        Waiter waiter(*this, deadline);
        co_await waiter.timer().async_wait(awaitInto(ignored));
    }
}

asio::awaitable<Json::Value> PeerChannel::call(std::string method, Json::Value parameters,
                                               Core::Instant deadline)
{
    const auto self = shared_from_this();
    const std::shared_ptr<PeerConnection> connection = co_await waitForConnection(method, deadline);
    const auto call = connection->send(method, parameters, deadline);
    if (!call)
        throw Core::NotDoneError(method, m_address.peer.text(),
                                 "the connection is closed or its queue is full");
    error_code ignored;
    co_await call->timer.async_wait(awaitInto(ignored));
    connection->removeCall(call);
    co_return resultOf(method, *call);
}

Json::Value PeerChannel::resultOf(const std::string &method, const PendingCall &call) const
{
    using Stage = PendingCall::Stage;
    const std::string &peer = m_address.peer.text();
    const std::string reason
        = call.reason.empty() ? "no response before the deadline" : call.reason;
    if (call.stage == Stage::Queued || call.stage == Stage::NeverSent)
        throw Core::NotDoneError(method, peer, reason);
    if (call.stage != Stage::ResponseReceived)
        throw Core::OutcomeUnknownError(method, peer, reason);
    const Json::Value &error = call.response["error"];
    if (error.isObject() && error["code"].isInt() && error["message"].isString())
        throw RemoteError(method, peer, error["message"].asString(), error["code"].asInt());
    if (!error.isNull() || !call.response.isMember("result"))
        throw Core::OutcomeUnknownError(method, peer, "the response is malformed");
    return call.response["result"];
}

} // namespace Peer
