#include <LibJob/OccurrenceSet.h>

#include <algorithm>
#include <iterator>
#include <limits>

namespace Jobs {

static std::int64_t sizeOf(int first, int last)
{
    return std::int64_t(last) - first + 1;
}

OccurrenceSet::Ranges::const_iterator OccurrenceSet::rangeOf(int number) const
{
    auto range = m_ranges.upper_bound(number);
    if (range == m_ranges.begin())
        return m_ranges.end();
    --range;
    return range->second >= number ? range : m_ranges.end();
}

bool OccurrenceSet::contains(int number) const
{
    return rangeOf(number) != m_ranges.end();
}

int OccurrenceSet::firstAbsentFrom(int from) const
{
    const auto range = rangeOf(from);
    return range == m_ranges.end() ? from : range->second + 1;
}

void OccurrenceSet::insert(int first, int last)
{
    // Joins all ranges that overlap the new one or touch it.
    auto range = m_ranges.upper_bound(first);
    if (range != m_ranges.begin() && std::prev(range)->second >= first - 1)
        --range;
    const int afterLast = last < std::numeric_limits<int>::max() ? last + 1 : last;
    while (range != m_ranges.end() && range->first <= afterLast) {
        first = std::min(first, range->first);
        last = std::max(last, range->second);
        m_count -= sizeOf(range->first, range->second);
        range = m_ranges.erase(range);
    }
    m_ranges.emplace(first, last);
    m_count += sizeOf(first, last);
}

} // namespace Jobs
