#pragma once

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <json/value.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Peer {

/// Serves the calls of other entry VMs. A server may be used from one thread only, and its
/// executor's context must outlive it.
class PeerServer
{
public:
    /// Computes the result of a call. Methods run on the executor's thread and should return
    /// quickly, because heartbeats are served there too. An exception is returned as a JSON-RPC
    /// error.
    using Method = std::function<Json::Value(const Json::Value &parameters)>;

    /// Listens on \p address, a numeric IP address, and \p port; port 0 selects a free port.
    /// \throws Core::Error if listening fails.
    PeerServer(const boost::asio::any_io_executor &executor, const std::string &address,
               std::uint16_t port);
    /// Calls stop().
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// The port on which the server listens.
    std::uint16_t port() const;

    /// Adds a method, in addition to the built-in `peer.ping`. The parameters passed to \p method
    /// are an object or an array, or null if the call has none.
    void addMethod(const std::string &name, Method method);

    /// Stops accepting connections and closes the open ones. A response that is being written is
    /// completed first.
    void stop();

private:
    class Listener;
    std::shared_ptr<Listener> m_listener;
};

} // namespace Peer
