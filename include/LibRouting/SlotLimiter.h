#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <deque>
#include <optional>
#include <vector>

namespace Routing {

/// Counts what one backend server may hold of ours: requests in work and connections, as the
/// server sees them. What we have given up on keeps counting until the server has surely ended
/// it: its end was seen, or the server has been seen alive for as long as a request can take. Time
/// in which it gave no sign of life doesn't count, as it may have been frozen.
class SlotLimiter
{
public:
    /// An attempt that nobody waits for any more.
    struct AbandonedAttempt
    {
        Core::RequestId request;
        int attempt = 0;
        Core::Instant abandonedAt;
        /// How much longer the server may be at work on it.
        Core::Duration remaining {};

        bool operator==(const AbandonedAttempt &) const = default;
    };

    /// \p longestServiceTime bounds a request's work at a server that is alive; \p idleTimeout is
    /// how long a server keeps a connection on which nothing comes.
    SlotLimiter(Core::Duration longestServiceTime, Core::Duration idleTimeout);

    void setShare(int slots, int connections);
    int slots() const { return m_slots; }

    /// True if one more request may be sent without going above a share.
    bool hasFreeSlot() const;
    /// True if one more connection may be opened for a probe.
    bool hasFreeConnection() const;
    int inWork() const { return m_inWork; }
    int abandoned() const { return static_cast<int>(m_abandoned.size()); }
    /// True if the server holds nothing of ours.
    bool isUnused() const { return connectionsWith(0) == 0; }
    /// How many idle connections have to be closed to come down to the share.
    int surplusConnections() const;

    void onSent() { ++m_inWork; }
    /// The attempt has ended at the server, or never reached it.
    void onEnded() { --m_inWork; }
    void onAbandoned(const Core::RequestId &request, int attempt, Core::Instant now);
    /// True if the attempt was one of ours.
    bool onAbandonedEnded(const Core::RequestId &request, int attempt);

    void onProbeSent() { ++m_probes; }
    void onProbeEnded() { --m_probes; }
    void onConnectionOpened() { ++m_open; }
    void onConnectionClosed(bool isKnownToServer, Core::Instant now);

    /// The server answered something. Returns the abandoned attempts that it has surely ended.
    std::vector<AbandonedAttempt> onSignOfLife(Core::Instant now);
    Core::Instant lastSignOfLife() const { return m_lastSignOfLife; }
    /// Forgets connections that are gone by now.
    void release(Core::Instant now);
    std::optional<Core::Instant> nextRelease() const;

private:
    /// A server that is silent for longer may have been frozen in between.
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
    /// When each connection that we closed without the server's knowledge is gone there too; the
    /// earliest first.
    std::deque<Core::Instant> m_uncertainUntil;
};

} // namespace Routing
