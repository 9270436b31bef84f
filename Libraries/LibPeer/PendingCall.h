#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <cstdint>
#include <string>

namespace Peer {

/// A call on a connection.
struct PendingCall
{
    enum class Stage {
        Queued,
        /// Some bytes may have been sent, so the peer may have executed the request.
        Sent,
        ResponseReceived,
        /// The connection was closed before any byte was sent.
        NeverSent,
        /// The connection was closed before a response was received.
        NoResponse,
    };

    explicit PendingCall(const boost::asio::any_io_executor &executor)
        : timer(executor)
    {
    }

    std::uint64_t id = 0;
    /// The request with the terminating newline.
    std::string frame;
    Stage stage = Stage::Queued;
    /// The complete JSON-RPC response.
    Json::Value response;
    /// Why the connection was closed.
    std::string reason;
    /// Expires at the call's deadline. Cancelled when the stage is final.
    boost::asio::steady_timer timer;
};

} // namespace Peer
