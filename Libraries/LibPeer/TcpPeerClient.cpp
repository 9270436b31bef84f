#include <LibPeer/TcpPeerClient.h>

#include "PeerChannel.h"

#include <LibCore/Error.h>

namespace Peer {

TcpPeerClient::TcpPeerClient(boost::asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
}

TcpPeerClient::~TcpPeerClient()
{
    setPeers({});
}

void TcpPeerClient::setPeers(const std::vector<PeerAddress> &peers)
{
    auto previous = std::exchange(m_channels, {});
    for (const PeerAddress &address : peers) {
        const auto found = previous.find(address.peer);
        if (found != previous.end() && found->second->address() == address) {
            m_channels.insert(previous.extract(found));
            continue;
        }
        const auto channel = std::make_shared<PeerChannel>(m_executor, address);
        if (m_channels.emplace(address.peer, channel).second)
            channel->start();
    }
    for (const auto &[peer, channel] : previous)
        channel->stop();
}

boost::asio::awaitable<Json::Value> TcpPeerClient::call(Core::VmId peer, std::string method,
                                                        Json::Value parameters,
                                                        Core::Instant deadline)
{
    const auto found = m_channels.find(peer);
    if (found == m_channels.end())
        throw Core::NotDoneError(method, peer.text(), "unknown peer");
    const std::shared_ptr<PeerChannel> channel = found->second;
    co_return co_await channel->call(std::move(method), std::move(parameters), deadline);
}

} // namespace Peer
