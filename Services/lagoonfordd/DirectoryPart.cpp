#include <utility>

#include "DirectoryPart.h"

#include <LibLog/Logging.h>

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Daemon {

namespace asio = boost::asio;

static constexpr Core::Duration listInterval = std::chrono::seconds(1);
static constexpr Core::Duration listTimeout = std::chrono::milliseconds(900);
static constexpr Core::Duration peerInterval = std::chrono::milliseconds(600);
static constexpr Core::Duration peerTimeout = std::chrono::milliseconds(600);
/// Peers in other failure domains are queried once in this many rounds.
static constexpr unsigned roundsPerDistantPeer = 3;
static const auto partLogger = Log::logger("directory");

DirectoryPart::DirectoryPart(Node &node)
    : StoppablePart("directory", node, m_wakeup)
    , m_wakeup(node.executor())
{
}

asio::awaitable<Core::Instant> DirectoryPart::step(Core::Instant now)
{
    if (now >= m_nextList) {
        m_nextList = now + listInterval;
        asio::co_spawn(node().executor(), readList(), asio::detached);
    }
    ++m_round;
    for (const Platform::VmEntry &peer : node().peerVms()) {
        const bool isNear = peer.failureDomain == node().settings().failureDomain;
        if (isNear || m_round % roundsPerDistantPeer == 0)
            asio::co_spawn(node().executor(), askPeer(peer.id), asio::detached);
    }
    node().applyPeerStates(now);
    co_return now + peerInterval;
}

asio::awaitable<void> DirectoryPart::readList()
{
    bool isReachable = true;
    try {
        node().setVms(co_await node().directory().list(Core::steadyNow() + listTimeout));
    } catch (const Core::Error &error) {
        // The last list stays in use; users of the list have to cope with an old one anyway.
        isReachable = false;
        LOG4CXX_DEBUG(partLogger, error.what());
    }
    if (isReachable != m_isReachable)
        LOG4CXX_WARN(partLogger, "list of VMs " << (isReachable ? "in" : "out of") << " reach");
    m_isReachable = isReachable;
}

asio::awaitable<void> DirectoryPart::askPeer(Core::VmId peer)
{
    const Core::Instant askedAt = Core::steadyNow();
    try {
        const Json::Value answer = co_await node().peers().call(
            peer, VmState::methodName, Json::Value(Json::objectValue), askedAt + peerTimeout);
        node().setPeerState({ VmState::fromJson(answer), askedAt });
    } catch (const Core::Error &error) {
        LOG4CXX_DEBUG(partLogger, error.what());
    }
}

} // namespace Daemon
