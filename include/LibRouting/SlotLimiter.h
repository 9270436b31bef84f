#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <deque>
#include <optional>
#include <vector>

namespace Routing {

/// Counts this VM's requests and connections on one backend server as the server sees them. What
/// this VM has given up on counts until the server has certainly ended it: its end was received, or
/// the server has been alive for as long as a request can take. Time without a sign of life doesn't
/// count, since the server may have been frozen.
class SlotLimiter
{
public:
    /// An attempt whose answer isn't needed any more.
    struct AbandonedAttempt
    {
        Core::RequestId request;
        int attempt = 0;
        Core::Instant abandonedAt;
        /// How much longer the server may work on the attempt.
        Core::Duration remaining {};

        bool operator==(const AbandonedAttempt &) const = default;
    };

    /// \p longestServiceTime is the maximum time that a live server works on a request; \p
    /// idleTimeout is how long a server keeps an idle connection.
    SlotLimiter(Core::Duration longestServiceTime, Core::Duration idleTimeout);

    void setShare(int slots, int connections);
    int slots() const { return m_slots; }

    /// True if another request may be sent without exceeding a share.
    bool hasFreeSlot() const;
    /// True if another connection may be opened for a probe.
    bool hasFreeConnection() const;
    int inWork() const { return m_inWork; }
    int abandoned() const { return static_cast<int>(m_abandoned.size()); }
    /// True if the server has no request and no connection of this VM.
    bool isUnused() const { return connectionsWith(0) == 0; }
    /// Returns how many idle connections must be closed to reach the share.
    int surplusConnections() const;

    void onSent() { ++m_inWork; }
    /// The attempt has ended on the server, or never reached it.
    void onEnded() { --m_inWork; }
    void onAbandoned(const Core::RequestId &request, int attempt, Core::Instant now);
    /// Returns false if the attempt is unknown.
    bool onAbandonedEnded(const Core::RequestId &request, int attempt);

    void onProbeSent() { ++m_probes; }
    void onProbeEnded() { --m_probes; }
    void onConnectionOpened() { ++m_open; }
    void onConnectionClosed(bool isKnownToServer, Core::Instant now);

    /// The server has sent something. Returns the abandoned attempts that it has certainly ended.
    std::vector<AbandonedAttempt> onSignOfLife(Core::Instant now);
    Core::Instant lastSignOfLife() const { return m_lastSignOfLife; }
    /// Stops counting connections that have certainly ended on the server.
    void release(Core::Instant now);
    std::optional<Core::Instant> nextRelease() const;

private:
    /// A server that was silent for longer than this may have been frozen.
    static constexpr Core::Duration longestGap = std::chrono::seconds(2);

    int connectionsWith(int added) const;

    Core::Duration m_longestServiceTime;
    Core::Duration m_idleTimeout;
    int m_slots = 0;
    int m_connections = 0;
    int m_inWork = 0;
    int m_probes = 0;
    int m_open = 0;
    Core::Instant m_lastSignOfLife;
    std::vector<AbandonedAttempt> m_abandoned;
    /// When the connections that were closed without the server's knowledge have ended there, too;
    /// the earliest first.
    std::deque<Core::Instant> m_uncertainUntil;
};

} // namespace Routing
