#pragma once

#include <LibCore/Time.h>

#include <cstddef>

namespace Peer {

/// The largest message, in bytes, without the newline that ends it.
inline constexpr std::size_t maximumFrameBytes = 1024 * 1024;
/// How much one read takes from the system at most, in bytes.
inline constexpr std::size_t readChunkBytes = 16 * 1024;
/// How many bytes may wait to be written to one peer; further calls fail at once.
inline constexpr std::size_t maximumQueuedBytes = 4 * 1024 * 1024;
/// How many calls to one peer may be unanswered; further ones fail at once.
inline constexpr std::size_t maximumPendingCalls = 1024;
/// How many connections a server serves; further ones are closed.
inline constexpr std::size_t maximumSessions = 256;

/// How long a connection is idle before a heartbeat goes out.
inline constexpr Core::Duration heartbeatInterval = std::chrono::milliseconds(250);
/// How long a connection may bring no bytes before the caller's side gives it up.
inline constexpr Core::Duration clientSilenceLimit = std::chrono::seconds(1);
/// How long a connection may bring no bytes, or take none, before the server's side gives it up.
inline constexpr Core::Duration serverSilenceLimit = std::chrono::seconds(5);
inline constexpr Core::Duration connectLimit = std::chrono::seconds(1);
/// The pause before a connection is opened again; it doubles with each failure in a row.
inline constexpr Core::Duration minimumReconnectDelay = std::chrono::milliseconds(50);
inline constexpr Core::Duration maximumReconnectDelay = std::chrono::milliseconds(500);

inline constexpr const char *heartbeatMethod = "peer.ping";

} // namespace Peer
