#pragma once

#include <LibPeer/PeerAddress.h>
#include <LibPeer/PeerClient.h>

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <memory>
#include <vector>

namespace Peer {

class PeerChannel;

/// Makes JSON-RPC 2.0 calls over one persistent TCP connection to each peer. The format is
/// described in docs/design/PEERS.md.
///
/// The client opens and reopens the connections on its own. A call waits until its deadline while
/// the connection is being opened, and fails immediately if the last attempt to connect failed. A
/// client may be used from one thread only, and its executor's context must outlive it.
class TcpPeerClient final : public PeerClient
{
public:
    explicit TcpPeerClient(boost::asio::any_io_executor executor);
    ~TcpPeerClient() override;

    /// Replaces the set of peers. Connections to unchanged peers stay open.
    void setPeers(const std::vector<PeerAddress> &peers);

    /// \throws Peer::RemoteError (a Core::Error) if the peer responded with an error, in addition
    /// to the exceptions of PeerClient::call().
    boost::asio::awaitable<Json::Value> call(Core::VmId peer, std::string method,
                                             Json::Value parameters,
                                             Core::Instant deadline) override;

private:
    boost::asio::any_io_executor m_executor;
    std::map<Core::VmId, std::shared_ptr<PeerChannel>> m_channels;
};

} // namespace Peer
