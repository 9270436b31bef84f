#pragma once

#include <LibPeer/PeerAddress.h>
#include <LibPeer/PeerClient.h>

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>
#include <vector>

namespace Peer {

class PeerChannel;

/// JSON-RPC 2.0 over one long-lived TCP connection to each peer; docs/design/PEERS.md has the
/// format.
///
/// The link keeps its connections up by itself. A call waits, bounded by its deadline, while the
/// connection is being opened; it fails at once while the peer refuses connections. The link is
/// used from one thread only, and its executor's context must outlive it.
class TcpPeerClient final : public PeerClient
{
public:
    explicit TcpPeerClient(boost::asio::any_io_executor executor);
    ~TcpPeerClient() override;

    /// Replaces the set of peers. Connections to unchanged peers stay open.
    void setPeers(const std::vector<PeerAddress> &peers);

    /// Also throws Peer::RemoteError, a Core::Error, if the peer answered with an error.
    boost::asio::awaitable<Json::Value> call(Core::VmId peer, std::string method,
                                             Json::Value parameters,
                                             Core::Instant deadline) override;

private:
    boost::asio::any_io_executor m_executor;
    std::map<Core::VmId, std::shared_ptr<PeerChannel>> m_channels;
};

} // namespace Peer
