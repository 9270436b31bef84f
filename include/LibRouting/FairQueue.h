#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>

namespace Routing {

/// A request that waits for a slot.
struct QueuedRequest
{
    Core::RequestId id;
    Core::TeamId team;
    /// The expected service time, for which the request occupies a slot.
    Core::Duration cost {};

    bool operator==(const QueuedRequest &) const = default;
};

/// One queue per team, served by weighted deficit round robin over slot time: many requests of a
/// team delay that team, not the others. While a team has requests queued, at most one quantum per
/// unit of weight of each other team is served between two of its turns.
class FairQueue
{
public:
    /// \p quantum is the slot time that a team of weight 1 may use per round.
    explicit FairQueue(Core::Duration quantum);

    void setWeights(const std::map<Core::TeamId, int> &weights);
    void setQuantum(Core::Duration quantum);

    void pushBack(const QueuedRequest &request);
    /// Queues a request again that was dequeued before. Its slot time isn't charged again.
    void pushFront(const QueuedRequest &request);
    /// Returns the next request, which stays the next one until it is popped; null if none is
    /// queued.
    const QueuedRequest *peek();
    std::optional<QueuedRequest> pop();
    /// Returns the newest request of the team with the most queued slot time relative to its
    /// weight.
    std::optional<QueuedRequest> takeNewestOfBusiest();
    /// True if the request was queued.
    bool remove(const Core::RequestId &request);

    std::size_t size() const { return m_positions.size(); }
    bool isEmpty() const { return m_positions.empty(); }
    /// Returns the slot time of a team's queued requests.
    Core::Duration costOf(const Core::TeamId &team) const;
    /// Returns the share of the capacity that a team has, or would have with a request queued, in
    /// (0, 1].
    double shareOf(const Core::TeamId &team) const;

private:
    struct Entry
    {
        QueuedRequest request;
        bool isCharged = false;
    };
    struct TeamQueue
    {
        Core::TeamId team;
        std::list<Entry> entries;
        Core::Duration cost {};
        Core::Duration deficit {};
        int weight = 1;
        bool isInTurn = false;
        std::list<TeamQueue *>::iterator roundPosition;
    };
    struct Position
    {
        TeamQueue *queue = nullptr;
        std::list<Entry>::iterator entry;
    };

    int weightOf(const Core::TeamId &team) const;
    TeamQueue &activate(const Core::TeamId &team, std::list<TeamQueue *>::iterator place);
    QueuedRequest take(TeamQueue &queue, std::list<Entry>::iterator entry);
    void deactivate(TeamQueue &queue);

    Core::Duration m_quantum;
    std::map<Core::TeamId, int> m_weights;
    std::unordered_map<Core::TeamId, TeamQueue> m_queues;
    /// The teams with queued requests; the front one is being served.
    std::list<TeamQueue *> m_round;
    std::unordered_map<Core::RequestId, Position> m_positions;
    int m_activeWeight = 0;
};

} // namespace Routing
