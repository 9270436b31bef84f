#pragma once

#include <LibCore/Resources.h>
#include <LibPlacement/WorkerSlot.h>

#include <optional>
#include <vector>

namespace Placement {

/// The start and the remaining budget of a search. The search advances `position` to where the next
/// one should begin.
struct SearchCursor
{
    WorkerSlot position = 0;
    /// The number of tree nodes that may still be visited.
    int visitsLeft = 0;

    bool operator==(const SearchCursor &) const = default;
};

/// A segment tree over the workers. Each node holds the maximum available capacity of the workers
/// below it, separately for each dimension.
///
/// A search skips every subtree in which some dimension is too small. The maxima of a node may come
/// from different workers, so a subtree can look sufficient although none of its workers fits. The
/// cursor therefore bounds the nodes that a search visits, and the next search continues at the
/// cursor's position.
class CapacityTree
{
public:
    /// The available capacity of a worker that gets no attempts; not even an empty need fits.
    static constexpr Core::Resources nothingAvailable { -1, -1, -1 };

    void setAvailable(WorkerSlot worker, const Core::Resources &available);
    const Core::Resources &available(WorkerSlot worker) const;

    /// The next worker on which \p need fits, from the cursor's position on and wrapping around at
    /// the end; nothing if there is none or the visits are used up.
    std::optional<WorkerSlot> find(const Core::Resources &need, SearchCursor &cursor) const;

    /// The number of nodes that one search should visit at most: proportional to the height of the
    /// tree.
    int visitLimit() const;
    /// The maximum available capacity of each dimension, which may come from different workers.
    Core::Resources largestAvailable() const;
    std::size_t size() const { return m_size; }

private:
    void grow(std::size_t size);
    void updateAncestors(std::size_t node);
    std::optional<WorkerSlot> findInRange(const Core::Resources &need, WorkerSlot begin,
                                          WorkerSlot end, SearchCursor &cursor) const;

    std::size_t m_size = 0;
    std::size_t m_leafCount = 0;
    std::vector<Core::Resources> m_nodes;
};

} // namespace Placement
