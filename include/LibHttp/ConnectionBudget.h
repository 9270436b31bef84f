#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>
#include <list>

namespace Http {

/// Keeps idle connections and closes them when a ConnectionBudget needs their places.
class IdleConnectionOwner
{
public:
    IdleConnectionOwner() = default;
    IdleConnectionOwner(const IdleConnectionOwner &) = delete;
    IdleConnectionOwner &operator=(const IdleConnectionOwner &) = delete;
    virtual ~IdleConnectionOwner() = default;

    /// Closes the connection that has been idle longest; reports it with removeIdle() and
    /// onClosed().
    virtual void closeLongestIdle() = 0;
};

/// Bounds the connections, in use and idle, that the clients of a process hold open together.
///
/// It decides which calls may take a connection and which idle connections are closed; it does no
/// I/O, reads no clock, and belongs to one thread. All operations take constant time.
class ConnectionBudget
{
public:
    enum class Use {
        /// May use the whole budget.
        Essential,
        /// Leaves one connection for each known peer.
        Deferrable,
    };

    struct IdleEntry
    {
        IdleConnectionOwner *owner = nullptr;
        Core::Instant expiresAt;
    };
    using IdlePosition = std::list<IdleEntry>::iterator;

    /// How long a connection may be idle while the budget isn't exhausted.
    static constexpr Core::Duration idleTime = std::chrono::seconds(60);

    explicit ConnectionBudget(std::size_t maxOpen);

    void addPeer() { ++m_peers; }
    void removePeer() { --m_peers; }

    /// True if a call may take a connection; it then counts until endCall(), and is never denied a
    /// new connection by tryOpen(). A call holds at most one connection at a time.
    bool tryBeginCall(Use use);
    void endCall(Use use);

    /// Reserves a new connection, which counts until onClosed(). At the limit, the connection that
    /// has been idle longest is closed first, whoever owns it. Returns false if none is idle.
    bool tryOpen();
    void onClosed() { --m_open; }

    /// An open connection becomes idle. Each owner's connections must be idle in the order in which
    /// they were added.
    IdlePosition addIdle(IdleConnectionOwner &owner, Core::Instant now);
    /// An idle connection is used again, or its owner closes it.
    void removeIdle(IdlePosition position) { m_idle.erase(position); }
    /// Closes at most \p maxClosed of the connections that have been idle for `idleTime`.
    void closeExpired(Core::Instant now, std::size_t maxClosed);

    /// Connections in use and idle.
    std::size_t open() const { return m_open; }
    std::size_t idle() const { return m_idle.size(); }
    /// The total number of calls that were denied a connection.
    std::uint64_t refusedCalls() const { return m_refusedCalls; }

private:
    /// The maximum number of concurrent deferrable calls.
    std::size_t maxDeferrableCalls() const;

    std::size_t m_maxOpen;
    std::size_t m_peers = 0;
    std::size_t m_open = 0;
    std::size_t m_calls = 0;
    std::size_t m_deferrableCalls = 0;
    std::uint64_t m_refusedCalls = 0;
    /// Ordered by the start of the idle time, so that the first entry is the first to expire.
    std::list<IdleEntry> m_idle;
};

} // namespace Http
