#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <json/value.h>

#include <cstdint>
#include <string>

namespace Peer {

/// One call on one connection.
struct PendingCall
{
    enum class Stage {
        Queued,
        /// Bytes may have left, so the peer may have acted.
        Sent,
        Answered,
        /// The connection ended before any byte left.
        NeverSent,
        /// The connection ended without an answer.
        Unanswered,
    };

    explicit PendingCall(const boost::asio::any_io_executor &executor)
        : timer(executor)
    {
    }

    std::uint64_t id = 0;
    /// The request with the newline that ends it.
    std::string frame;
    Stage stage = Stage::Queued;
    /// The whole JSON-RPC answer.
    Json::Value answer;
    /// Why the connection ended.
    std::string reason;
    /// Expires at the call's deadline and is cancelled when the stage is final.
    boost::asio::steady_timer timer;
};

} // namespace Peer
