#pragma once

#include <LibPlacement/ClassTable.h>

#include <compare>
#include <set>
#include <vector>

namespace Placement {

using RackIndex = std::size_t;

/// Counts the latency-critical attempts of each class in each rack, so that the loss of one rack
/// takes as few of a class as possible.
class RackSpread
{
public:
    void addRack(RackIndex rack);
    void add(ClassIndex taskClass, RackIndex rack);
    void remove(ClassIndex taskClass, RackIndex rack);

    int count(ClassIndex taskClass, RackIndex rack) const;
    /// At most \p limit racks, those with the fewest attempts of the class first.
    std::vector<RackIndex> leastUsedRacks(ClassIndex taskClass, std::size_t limit);

private:
    struct RackCount
    {
        int attempts = 0;
        RackIndex rack = 0;

        auto operator<=>(const RackCount &) const = default;
    };

    struct ClassState
    {
        std::vector<int> counts;
        std::set<RackCount> order;
    };

    ClassState &stateOf(ClassIndex taskClass);
    void change(ClassIndex taskClass, RackIndex rack, int difference);

    std::size_t m_racks = 0;
    std::vector<ClassState> m_classes;
};

} // namespace Placement
