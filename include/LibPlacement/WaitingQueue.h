#pragma once

#include <LibPlacement/Scheduler.h>

#include <compare>
#include <map>
#include <set>
#include <unordered_map>

namespace Placement {

/// Identifies the queue of the waiting tasks of one team and kind.
struct TeamQueueId
{
    /// Declared first, so that the queues of latency-critical tasks sort before those of batch
    /// tasks.
    Rules::TaskKind kind = Rules::TaskKind::Batch;
    Core::TeamId team;

    auto operator<=>(const TeamQueueId &) const = default;
};

/// The waiting tasks, in one queue per team and kind.
///
/// A team queue is ordered by priority and age: a task's effective submission time is its
/// submission time moved back by its priority times the aging step. All waiting tasks age at the
/// same rate, so their order never changes and needs no resorting.
class WaitingQueue
{
public:
    struct Item
    {
        WaitingTask task;
        TeamQueueId queueId;
        Core::Instant effectiveSubmittedAt;
        /// When the task last began to wait: its submission or, if later, when it was last given to
        /// the scheduler as waiting.
        Core::Instant waitingSince;
    };

    /// Orders by effective submission time, then by task id.
    struct ItemOrder
    {
        bool operator()(const Item *left, const Item *right) const;
    };

    using TeamQueue = std::set<const Item *, ItemOrder>;

    explicit WaitingQueue(Core::Duration agingPerPriority);

    /// False if the task is already waiting.
    bool add(const WaitingTask &task, Rules::TaskKind kind, int priority,
             Core::Instant waitingSince);
    /// False if the task isn't waiting.
    bool remove(const Core::TaskId &task);

    /// Null if the task isn't waiting.
    const Item *find(const Core::TaskId &task) const;
    const std::map<TeamQueueId, TeamQueue> &teamQueues() const { return m_teamQueues; }
    std::size_t size() const { return m_items.size(); }
    /// Copies of all waiting tasks, one team queue after the other.
    std::vector<Item> items() const;

private:
    Core::Duration m_agingPerPriority;
    std::unordered_map<Core::TaskId, Item> m_items;
    std::map<TeamQueueId, TeamQueue> m_teamQueues;
};

} // namespace Placement
