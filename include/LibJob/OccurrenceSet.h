#pragma once

#include <cstdint>
#include <map>

namespace Jobs {

/// A set of occurrence numbers, stored as ranges: its size grows with the gaps between the numbers,
/// not with how many they are.
class OccurrenceSet
{
public:
    /// By the first number of each range, the last one. The ranges neither overlap nor touch.
    using Ranges = std::map<int, int>;

    void insert(int number) { insert(number, number); }
    /// Inserts the numbers from \p first to \p last, which must be natural numbers in this order.
    void insert(int first, int last);
    bool contains(int number) const;
    std::int64_t count() const { return m_count; }
    /// Returns the lowest number from \p from on that isn't in the set.
    int firstAbsentFrom(int from) const;
    const Ranges &ranges() const { return m_ranges; }

    bool operator==(const OccurrenceSet &) const = default;

private:
    /// The range that contains \p number, or the end.
    Ranges::const_iterator rangeOf(int number) const;

    Ranges m_ranges;
    std::int64_t m_count = 0;
};

} // namespace Jobs
