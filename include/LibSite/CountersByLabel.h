#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Site {

/// The counters of a family with one label, by its value. Finding a counter that was used before is
/// cheaper here than in the family, which compares all labels under a lock. Not thread-safe.
class CountersByLabel
{
public:
    CountersByLabel(prometheus::Family<prometheus::Counter> &family, const std::string &label);

    /// Adds a counter to the family if the value is new.
    prometheus::Counter &at(std::string_view value);

private:
    prometheus::Family<prometheus::Counter> &m_family;
    std::string m_label;
    /// The family keeps its counters as long as it lives.
    std::map<std::string, prometheus::Counter *, std::less<>> m_counters;
};

} // namespace Site
