#include <LibPlacement/RackSpread.h>

#include <algorithm>

namespace Placement {

void RackSpread::addRack(RackIndex rack)
{
    m_racks = std::max(m_racks, rack + 1);
}

void RackSpread::add(ClassIndex taskClass, RackIndex rack)
{
    adjust(taskClass, rack, 1);
}

void RackSpread::remove(ClassIndex taskClass, RackIndex rack)
{
    adjust(taskClass, rack, -1);
}

int RackSpread::count(ClassIndex taskClass, RackIndex rack) const
{
    if (taskClass >= m_classes.size() || rack >= m_classes[taskClass].counts.size())
        return 0;
    return m_classes[taskClass].counts[rack];
}

std::vector<RackIndex> RackSpread::leastUsedRacks(ClassIndex taskClass, std::size_t limit)
{
    std::vector<RackIndex> racks;
    for (const RackCount &entry : stateOf(taskClass).racksByCount) {
        if (racks.size() == limit)
            break;
        racks.push_back(entry.rack);
    }
    return racks;
}

RackSpread::ClassState &RackSpread::stateOf(ClassIndex taskClass)
{
    if (taskClass >= m_classes.size())
        m_classes.resize(taskClass + 1);
    ClassState &state = m_classes[taskClass];
    while (state.counts.size() < m_racks) {
        state.racksByCount.insert({ 0, state.counts.size() });
        state.counts.push_back(0);
    }
    return state;
}

void RackSpread::adjust(ClassIndex taskClass, RackIndex rack, int difference)
{
    addRack(rack);
    ClassState &state = stateOf(taskClass);
    state.racksByCount.erase({ state.counts[rack], rack });
    state.counts[rack] += difference;
    state.racksByCount.insert({ state.counts[rack], rack });
}

} // namespace Placement
