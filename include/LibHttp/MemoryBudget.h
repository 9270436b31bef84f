#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <set>

namespace Http {

/// Bounds the bytes that the clients of all servers of a process make it hold.
///
/// When the budget is short, the connection that has made no progress for the longest time is
/// closed. It does no I/O, reads no clock, and belongs to one thread. All operations take constant
/// time, apart from those that close connections, which also look at each server.
class MemoryBudget
{
public:
    class Group;
    class Connection;

    /// A connection that has made progress within this time isn't closed.
    static constexpr Core::Duration minStallTime = std::chrono::milliseconds(250);
    /// Fewer received bytes aren't progress; otherwise, clients that send a byte now and then would
    /// outlast those behind a slow link.
    static constexpr std::size_t progressBytes = 1024;
    /// A tenth of 160 MiB, the memory of the smallest VM.
    static constexpr std::size_t defaultBytes = 16 * 1024 * 1024;

    explicit MemoryBudget(std::size_t maxBytes = defaultBytes)
        : m_maxBytes(maxBytes)
    {
    }
    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;
    ~MemoryBudget() = default;

    std::size_t heldBytes() const { return m_heldBytes; }
    /// Connections that were closed because the budget or the connections of a server were
    /// exhausted.
    std::uint64_t closedConnections() const { return m_closedConnections; }
    /// How often the budget was exhausted and no connection could be closed.
    std::uint64_t shortages() const { return m_shortages; }
    /// By how much the held bytes have fallen below their maximum since the last resetPeak().
    std::size_t bytesBelowPeak() const { return m_peakBytes - m_heldBytes; }
    void resetPeak() { m_peakBytes = m_heldBytes; }

private:
    /// Returns false if the budget remains exceeded.
    bool makeRoom(const Connection &requester, Core::Instant now);
    void add(std::size_t bytes);

    std::size_t m_maxBytes;
    std::size_t m_heldBytes = 0;
    std::size_t m_peakBytes = 0;
    std::uint64_t m_closedConnections = 0;
    std::uint64_t m_shortages = 0;
    std::set<Group *> m_groups;
};

/// The connections of one server.
class MemoryBudget::Group
{
public:
    explicit Group(std::shared_ptr<MemoryBudget> budget);
    ~Group();
    Group(const Group &) = delete;
    Group &operator=(const Group &) = delete;

    /// Those that haven't been closed.
    std::size_t openConnections() const { return m_openConnections; }
    /// Closes the connection without progress for the longest time, to make room for another.
    /// Returns false if there is none that can be closed.
    bool closeLongestStalled(Core::Instant now);

private:
    friend class MemoryBudget;

    std::shared_ptr<MemoryBudget> m_budget;
    std::size_t m_openConnections = 0;
    /// Each connection that hasn't been closed is in one of them, in the order of the last
    /// progress.
    std::list<Connection *> m_idle;
    std::list<Connection *> m_transferring;
    std::list<Connection *> m_answering;
};

/// What one client's connection makes the process hold.
class MemoryBudget::Connection
{
public:
    /// \p onClose closes the connection when the budget needs its bytes; its owner must then give
    /// up what it does with it. The connection is idle at first.
    Connection(std::shared_ptr<Group> group, std::function<void()> onClose, Core::Instant now);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /// Waits for a request and holds nothing.
    void becomeIdle(Core::Instant now);
    /// Receives a request or sends a response.
    void beginTransfer(Core::Instant now);
    /// The request is being answered; the connection isn't closed meanwhile.
    void beginAnswer(Core::Instant now);
    /// Counts \p bytes instead of those counted so far, and closes other connections if the budget
    /// is exhausted. Returns false if that wasn't enough. \p transferredBytes is what the present
    /// transfer has moved since it began: progress, whatever room has been allocated for it.
    bool hold(std::size_t bytes, std::size_t transferredBytes, Core::Instant now);

private:
    friend class MemoryBudget;
    friend class Group;

    void leaveOrder();
    void enterOrder(std::list<Connection *> &order, Core::Instant now);
    void close();
    bool isStalled(Core::Instant now) const { return now - m_lastProgress >= minStallTime; }

    std::shared_ptr<Group> m_group;
    std::function<void()> m_onClose;
    Core::Instant m_lastProgress;
    std::size_t m_heldBytes = 0;
    /// What the present transfer had moved at the last progress.
    std::size_t m_bytesAtProgress = 0;
    bool m_isClosed = false;
    /// The order that the connection is in, unless it has been closed.
    std::list<Connection *> *m_order;
    std::list<Connection *>::iterator m_position;
};

} // namespace Http
