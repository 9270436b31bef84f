#pragma once

#include <LibPlacement/ClassTable.h>

#include <compare>
#include <set>
#include <vector>

namespace Placement {

using RackIndex = std::size_t;

/// Counts the latency-critical attempts of each class per rack. Placing a class in its least used
/// racks limits how many of its attempts are lost with one rack.
class RackSpread
{
public:
    void addRack(RackIndex rack);
    void add(ClassIndex taskClass, RackIndex rack);
    void remove(ClassIndex taskClass, RackIndex rack);

    int count(ClassIndex taskClass, RackIndex rack) const;
    /// At most \p limit racks, ordered by ascending number of attempts of the class.
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
        /// Every rack with its count, in ascending order of the counts.
        std::set<RackCount> racksByCount;
    };

    ClassState &stateOf(ClassIndex taskClass);
    void adjust(ClassIndex taskClass, RackIndex rack, int difference);

    std::size_t m_racks = 0;
    std::vector<ClassState> m_classes;
};

} // namespace Placement
