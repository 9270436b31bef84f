#include <LibPlacement/CapacityTree.h>

#include <algorithm>
#include <array>
#include <bit>

namespace Placement {

namespace {

/// The nodes that one search may visit for each level of the tree.
constexpr int visitsPerLevel = 12;
/// The stack size of a search, which suffices for any number of workers that fits in 64 bits.
constexpr std::size_t maximumDepth = 64;

/// A node with the slots of the workers below it: `width` slots from `first` on.
struct Subtree
{
    std::size_t node = 1;
    WorkerSlot first = 0;
    std::size_t width = 0;
};

Core::Resources maximumPerDimension(const Core::Resources &left, const Core::Resources &right)
{
    return { std::max(left.milliCores, right.milliCores), std::max(left.mebibytes, right.mebibytes),
             std::max(left.accelerators, right.accelerators) };
}

} // namespace

void CapacityTree::setAvailable(WorkerSlot worker, const Core::Resources &available)
{
    if (worker >= m_leafCount)
        grow(worker + 1);
    m_size = std::max(m_size, worker + 1);
    if (m_nodes[m_leafCount + worker] == available)
        return;
    m_nodes[m_leafCount + worker] = available;
    updateAncestors(m_leafCount + worker);
}

const Core::Resources &CapacityTree::available(WorkerSlot worker) const
{
    return m_nodes.at(m_leafCount + worker);
}

std::optional<WorkerSlot> CapacityTree::find(const Core::Resources &need,
                                             SearchCursor &cursor) const
{
    if (m_size == 0)
        return std::nullopt;
    const WorkerSlot start = cursor.position % m_size;
    // The next search continues at slot 0 if this one ends between the two ranges.
    cursor.position = 0;
    std::optional<WorkerSlot> found = findInRange(need, start, m_size, cursor);
    if (!found && cursor.visitsLeft > 0) {
        cursor.position = start;
        found = findInRange(need, 0, start, cursor);
    }
    if (found)
        cursor.position = (*found + 1) % m_size;
    return found;
}

int CapacityTree::visitLimit() const
{
    return visitsPerLevel * static_cast<int>(std::bit_width(m_leafCount));
}

Core::Resources CapacityTree::largestAvailable() const
{
    return m_size == 0 ? nothingAvailable : m_nodes[1];
}

void CapacityTree::grow(std::size_t size)
{
    const std::size_t leafCount = std::bit_ceil(size);
    std::vector<Core::Resources> nodes(2 * leafCount, nothingAvailable);
    for (WorkerSlot worker = 0; worker < m_size; ++worker)
        nodes[leafCount + worker] = m_nodes[m_leafCount + worker];
    for (std::size_t node = leafCount - 1; node > 0; --node)
        nodes[node] = maximumPerDimension(nodes[2 * node], nodes[2 * node + 1]);
    m_nodes = std::move(nodes);
    m_leafCount = leafCount;
}

void CapacityTree::updateAncestors(std::size_t node)
{
    for (node /= 2; node > 0; node /= 2) {
        const Core::Resources largest
            = maximumPerDimension(m_nodes[2 * node], m_nodes[2 * node + 1]);
        if (m_nodes[node] == largest)
            return;
        m_nodes[node] = largest;
    }
}

std::optional<WorkerSlot> CapacityTree::findInRange(const Core::Resources &need, WorkerSlot begin,
                                                    WorkerSlot end, SearchCursor &cursor) const
{
    // Depth first, left to right; the stack holds at most one right sibling per level.
    std::array<Subtree, maximumDepth> stack;
    std::size_t depth = 0;
    stack[depth++] = { 1, 0, m_leafCount };
    while (depth > 0) {
        const Subtree subtree = stack[--depth];
        const bool isOutside = subtree.first >= end || subtree.first + subtree.width <= begin;
        if (isOutside)
            continue;
        if (cursor.visitsLeft == 0) {
            cursor.position = std::max(subtree.first, begin);
            return std::nullopt;
        }
        --cursor.visitsLeft;
        if (!need.fitsIn(m_nodes[subtree.node]))
            continue;
        if (subtree.width == 1)
            return subtree.first;
        const std::size_t half = subtree.width / 2;
        stack[depth++] = { 2 * subtree.node + 1, subtree.first + half, half };
        stack[depth++] = { 2 * subtree.node, subtree.first, half };
    }
    return std::nullopt;
}

} // namespace Placement
