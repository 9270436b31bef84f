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
    /// The slot time that it is expected to take.
    Core::Duration cost {};

    bool operator==(const QueuedRequest &) const = default;
};

/// One queue per team, served by weighted deficit round robin over slot time: a team that asks
/// for much waits behind itself, not before others. While a team has requests queued, at most one
/// quantum per unit of weight of every other team is served between two of its turns.
class FairQueue
{
public:
    /// \p quantum is the slot time that a team of weight 1 may use per round.
    explicit FairQueue(Core::Duration quantum);

    void setWeights(const std::map<Core::TeamId, int> &weights);
    void setQuantum(Core::Duration quantum);

    void pushBack(const QueuedRequest &request);
    /// For a request that was served before and comes back; it isn't charged a second time.
    void pushFront(const QueuedRequest &request);
    /// The request whose turn it is; null if none is queued. It keeps its turn until popped.
    const QueuedRequest *peek();
    std::optional<QueuedRequest> pop();
    /// The newest request of the team that has most queued for its weight.
    std::optional<QueuedRequest> takeNewestOfBusiest();
    /// True if the request was queued.
    bool remove(const Core::RequestId &request);

    std::size_t size() const { return m_positions.size(); }
    bool isEmpty() const { return m_positions.empty(); }
    /// The slot time queued for a team.
    Core::Duration costOf(const Core::TeamId &team) const;
    /// The part of the capacity that a team would get if it had a request queued, in (0, 1].
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
