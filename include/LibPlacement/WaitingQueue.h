#pragma once

#include <LibPlacement/Scheduler.h>

#include <compare>
#include <map>
#include <set>
#include <unordered_map>

namespace Placement {

/// The waiting tasks of one team and kind; within a lane the order is by priority and age alone.
struct LaneId
{
    /// LatencyCritical sorts before Batch.
    Rules::TaskKind kind = Rules::TaskKind::Batch;
    Core::TeamId team;

    auto operator<=>(const LaneId &) const = default;
};

/// The waiting tasks, in lanes.
///
/// A task's place is its submission moved back by its priority times the aging step. Every waiting
/// task ages at the same rate, so the order never changes and nothing has to be sorted again.
class WaitingQueue
{
public:
    struct Item
    {
        WaitingTask task;
        LaneId lane;
        Core::Instant order;
        /// When it last began to wait: its submission, or the end of its last attempt.
        Core::Instant waitingSince;
    };

    struct ItemOrder
    {
        bool operator()(const Item *left, const Item *right) const;
    };

    using Lane = std::set<const Item *, ItemOrder>;

    explicit WaitingQueue(Core::Duration agingPerPriority);

    /// False if the task waits already.
    bool add(const WaitingTask &task, Rules::TaskKind kind, int priority,
             Core::Instant waitingSince);
    /// False if the task didn't wait.
    bool remove(const Core::TaskId &task);

    const Item *find(const Core::TaskId &task) const;
    const std::map<LaneId, Lane> &lanes() const { return m_lanes; }
    std::size_t size() const { return m_items.size(); }
    /// All waiting tasks, lane by lane.
    std::vector<Item> items() const;

private:
    Core::Duration m_agingPerPriority;
    std::unordered_map<Core::TaskId, Item> m_items;
    std::map<LaneId, Lane> m_lanes;
};

} // namespace Placement
