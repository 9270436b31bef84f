#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <boost/asio/awaitable.hpp>
#include <json/value.h>

#include <string>

namespace Peer {

/// Calls to the other entry VMs over long-lived connections.
class PeerClient
{
public:
    PeerClient() = default;
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;
    virtual ~PeerClient() = default;

    /// Calls the JSON-RPC method \p method of \p peer.
    /// \throws Core::NotDoneError if the request was never sent.
    /// \throws Core::OutcomeUnknownError if no answer came before \p deadline.
    /// \throws Core::Error if the peer answered with an error.
    virtual boost::asio::awaitable<Json::Value> call(Core::VmId peer, std::string method,
                                                     Json::Value parameters, Core::Instant deadline)
        = 0;
};

} // namespace Peer
