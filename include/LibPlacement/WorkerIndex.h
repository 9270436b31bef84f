#pragma once

#include <LibCore/Resources.h>
#include <LibPlacement/WorkerSlot.h>

#include <optional>
#include <vector>

namespace Placement {

/// Where a search begins and how much it may cost; afterwards, where the next one should go on.
struct SearchCursor
{
    WorkerSlot position = 0;
    /// Tree nodes that may still be visited.
    int visitsLeft = 0;

    bool operator==(const SearchCursor &) const = default;
};

/// A tree over the workers whose nodes hold the largest room below them in each dimension.
///
/// A search skips every subtree in which some dimension is too small. Rooms of different shapes
/// can make a node promise what none of its workers has, so a search is bounded by the visits that
/// its cursor allows, and a later one goes on at the cursor's position.
class WorkerIndex
{
public:
    /// The room of a worker that gets nothing.
    static constexpr Core::Resources noRoom { -1, -1, -1 };

    void setRoom(WorkerSlot worker, const Core::Resources &room);
    const Core::Resources &room(WorkerSlot worker) const;

    /// The next worker with room for \p need, from the cursor's position on and around the end.
    std::optional<WorkerSlot> find(const Core::Resources &need, SearchCursor &cursor) const;

    /// A search may visit this many nodes: a constant times the height of the tree.
    int visitLimit() const;
    /// The largest room in each dimension; not necessarily on one worker.
    Core::Resources largestRoom() const;
    std::size_t size() const { return m_size; }

private:
    void grow(std::size_t size);
    void updateAncestors(std::size_t node);
    std::optional<WorkerSlot> findInRange(const Core::Resources &need, WorkerSlot begin,
                                          WorkerSlot end, SearchCursor &cursor) const;

    std::size_t m_size = 0;
    std::size_t m_leaves = 0;
    std::vector<Core::Resources> m_nodes;
};

} // namespace Placement
