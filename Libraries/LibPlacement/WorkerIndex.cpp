#include <LibPlacement/WorkerIndex.h>

#include <algorithm>
#include <array>
#include <bit>

namespace Placement {

namespace {

constexpr int visitsPerLevel = 12;
constexpr std::size_t longestPath = 64;

struct Subtree
{
    std::size_t node = 1;
    WorkerSlot first = 0;
    std::size_t width = 0;
};

Core::Resources largestOf(const Core::Resources &left, const Core::Resources &right)
{
    return { std::max(left.milliCores, right.milliCores), std::max(left.mebibytes, right.mebibytes),
             std::max(left.accelerators, right.accelerators) };
}

} // namespace

void WorkerIndex::setRoom(WorkerSlot worker, const Core::Resources &room)
{
    if (worker >= m_leaves)
        grow(worker + 1);
    m_size = std::max(m_size, worker + 1);
    if (m_nodes[m_leaves + worker] == room)
        return;
    m_nodes[m_leaves + worker] = room;
    updateAncestors(m_leaves + worker);
}

const Core::Resources &WorkerIndex::room(WorkerSlot worker) const
{
    return m_nodes.at(m_leaves + worker);
}

std::optional<WorkerSlot> WorkerIndex::find(const Core::Resources &need, SearchCursor &cursor) const
{
    if (m_size == 0)
        return std::nullopt;
    const WorkerSlot start = cursor.position % m_size;
    // Where the next search goes on if this one ends between the two ranges.
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

int WorkerIndex::visitLimit() const
{
    return visitsPerLevel * static_cast<int>(std::bit_width(m_leaves));
}

Core::Resources WorkerIndex::largestRoom() const
{
    return m_size == 0 ? noRoom : m_nodes[1];
}

void WorkerIndex::grow(std::size_t size)
{
    const std::size_t leaves = std::bit_ceil(size);
    std::vector<Core::Resources> nodes(2 * leaves, noRoom);
    for (WorkerSlot worker = 0; worker < m_size; ++worker)
        nodes[leaves + worker] = m_nodes[m_leaves + worker];
    for (std::size_t node = leaves - 1; node > 0; --node)
        nodes[node] = largestOf(nodes[2 * node], nodes[2 * node + 1]);
    m_nodes = std::move(nodes);
    m_leaves = leaves;
}

void WorkerIndex::updateAncestors(std::size_t node)
{
    for (node /= 2; node > 0; node /= 2) {
        const Core::Resources largest = largestOf(m_nodes[2 * node], m_nodes[2 * node + 1]);
        if (m_nodes[node] == largest)
            return;
        m_nodes[node] = largest;
    }
}

std::optional<WorkerSlot> WorkerIndex::findInRange(const Core::Resources &need, WorkerSlot begin,
                                                   WorkerSlot end, SearchCursor &cursor) const
{
    // Depth first, left to right; at most one right sibling per level waits on the stack.
    std::array<Subtree, longestPath> stack;
    std::size_t depth = 0;
    stack[depth++] = { 1, 0, m_leaves };
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
