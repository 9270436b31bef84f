#pragma once

#include <LibCore/Time.h>

#include <cstddef>

namespace Peer {

/// The maximum length of a message in bytes, without the terminating newline.
inline constexpr std::size_t maximumFrameBytes = 1024 * 1024;
/// The maximum number of bytes per read from a socket.
inline constexpr std::size_t readChunkBytes = 16 * 1024;
/// The maximum number of bytes that are queued for one peer; further calls fail immediately.
inline constexpr std::size_t maximumQueuedBytes = 4 * 1024 * 1024;
/// The maximum number of calls to one peer without a response; further calls fail immediately.
inline constexpr std::size_t maximumPendingCalls = 1024;
/// The maximum number of connections to a server; further connections are closed.
inline constexpr std::size_t maximumSessions = 256;

/// How long no bytes have been received on a connection before a heartbeat is sent.
inline constexpr Core::Duration heartbeatInterval = std::chrono::milliseconds(250);
/// How long no bytes have been received on a connection before the client closes it.
inline constexpr Core::Duration clientReceiveTimeout = std::chrono::seconds(1);
/// The timeout of the server for each read from and write to a connection.
inline constexpr Core::Duration serverIoTimeout = std::chrono::seconds(5);
inline constexpr Core::Duration connectTimeout = std::chrono::seconds(1);
/// The delay before a connection is opened again. It doubles with each consecutive failure, up to
/// the maximum.
inline constexpr Core::Duration minimumReconnectDelay = std::chrono::milliseconds(50);
inline constexpr Core::Duration maximumReconnectDelay = std::chrono::milliseconds(500);

inline constexpr const char *heartbeatMethod = "peer.ping";

} // namespace Peer
