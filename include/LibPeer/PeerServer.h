#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <json/value.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Peer {

/// Answers the calls of other entry VMs. It is used from one thread only, and its executor's
/// context must outlive it.
class PeerServer
{
public:
    /// Computes the result of a call. It runs on the executor's thread and should be quick, since
    /// heartbeats are answered there too. An exception becomes a JSON-RPC error.
    using Method = std::function<Json::Value(const Json::Value &parameters)>;

    /// Listens on \p address, an IP number, and \p port; port 0 takes any free one.
    /// \throws Core::Error if that isn't possible.
    PeerServer(const boost::asio::any_io_executor &executor, const std::string &address,
               std::uint16_t port);
    /// Stops.
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// The port that it listens on.
    std::uint16_t port() const;

    /// Parameters reach \p method as an object or an array, or null if the call has none.
    /// `peer.ping` is there from the start.
    void addMethod(const std::string &name, Method method);

    /// Accepts no more connections and closes the open ones. An answer that is being written is
    /// written to its end first.
    void stop();

private:
    class Listener;
    std::shared_ptr<Listener> m_listener;
};

} // namespace Peer
