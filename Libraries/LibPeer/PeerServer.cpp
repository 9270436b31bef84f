#include <LibPeer/PeerServer.h>

#include "PeerDispatcher.h"
#include "PeerLimits.h"
#include "PeerSession.h"

#include <LibCore/Error.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>

namespace Peer {

namespace asio = boost::asio;
using boost::system::error_code;

/// The delay after a failed accept, whose most likely cause is a lack of file descriptors.
static constexpr Core::Duration acceptRetryDelay = std::chrono::milliseconds(100);

class PeerServer::Listener : public std::enable_shared_from_this<Listener>
{
public:
    Listener(const asio::any_io_executor &executor, const std::string &address, std::uint16_t port);

    void start();
    void stop();
    std::uint16_t port() const { return m_port; }
    PeerDispatcher &dispatcher() { return *m_dispatcher; }

private:
    asio::awaitable<void> acceptConnections();
    void startSession(asio::ip::tcp::socket socket);

    asio::any_io_executor m_executor;
    asio::ip::tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    std::shared_ptr<PeerDispatcher> m_dispatcher = std::make_shared<PeerDispatcher>();
    std::set<std::shared_ptr<PeerSession>> m_sessions;
};

PeerServer::Listener::Listener(const asio::any_io_executor &executor, const std::string &address,
                               std::uint16_t port)
    : m_executor(executor)
    , m_acceptor(executor)
{
    try {
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address), port);
        m_acceptor.open(endpoint.protocol());
        m_acceptor.set_option(asio::socket_base::reuse_address(true));
        m_acceptor.bind(endpoint);
        m_acceptor.listen();
        m_port = m_acceptor.local_endpoint().port();
    } catch (const boost::system::system_error &error) {
        throw Core::Error("listen", address + ":" + std::to_string(port), error.what());
    }
}

void PeerServer::Listener::start()
{
    asio::co_spawn(
        m_executor, [self = shared_from_this()] { return self->acceptConnections(); },
        asio::detached);
}

asio::awaitable<void> PeerServer::Listener::acceptConnections()
{
    while (m_acceptor.is_open()) {
        error_code error;
        asio::ip::tcp::socket socket(m_executor);
        co_await m_acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            startSession(std::move(socket));
            continue;
        }
        asio::steady_timer retryTimer(m_executor, acceptRetryDelay);
        co_await retryTimer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
}

void PeerServer::Listener::startSession(asio::ip::tcp::socket socket)
{
    if (!m_acceptor.is_open() || m_sessions.size() >= maximumSessions)
        return;
    auto session = std::make_shared<PeerSession>(std::move(socket), m_dispatcher);
    m_sessions.insert(session);
    asio::co_spawn(
        m_executor, [session] { return session->run(); },
        [self = shared_from_this(), session](const std::exception_ptr &) {
            self->m_sessions.erase(session);
        });
}

void PeerServer::Listener::stop()
{
    error_code ignored;
    m_acceptor.close(ignored);
    for (const auto &session : m_sessions)
        session->stop();
}

PeerServer::PeerServer(const asio::any_io_executor &executor, const std::string &address,
                       std::uint16_t port)
    : m_listener(std::make_shared<Listener>(executor, address, port))
{
    addMethod(heartbeatMethod, [](const Json::Value &) { return Json::Value(true); });
    m_listener->start();
}

PeerServer::~PeerServer()
{
    stop();
}

std::uint16_t PeerServer::port() const
{
    return m_listener->port();
}

void PeerServer::addMethod(const std::string &name, Method method)
{
    m_listener->dispatcher().addMethod(name, std::move(method));
}

void PeerServer::stop()
{
    m_listener->stop();
}

} // namespace Peer
