#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <boost/asio/awaitable.hpp>
#include <json/value.h>

#include <string>

namespace Peer {

/// Makes calls to the other entry VMs over persistent connections.
class PeerClient
{
public:
    PeerClient() = default;
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;
    virtual ~PeerClient() = default;

    /// Calls the JSON-RPC method \p method of \p peer.
    /// \throws Core::NotDoneError if the request wasn't sent.
    /// \throws Core::OutcomeUnknownError if no valid response was received before \p deadline.
    /// \throws Core::Error if the peer responded with an error.
    virtual boost::asio::awaitable<Json::Value> call(Core::VmId peer, std::string method,
                                                     Json::Value parameters, Core::Instant deadline)
        = 0;
};

} // namespace Peer
