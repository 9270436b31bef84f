#include <LibSite/CountersByLabel.h>

namespace Site {

CountersByLabel::CountersByLabel(prometheus::Family<prometheus::Counter> &family,
                                 const std::string &label)
    : m_family(family)
    , m_label(label)
{
}

prometheus::Counter &CountersByLabel::at(std::string_view value)
{
    const auto known = m_counters.find(value);
    if (known != m_counters.end())
        return *known->second;
    const std::string newValue(value);
    prometheus::Counter &counter = m_family.Add({ { m_label, newValue } });
    m_counters.emplace(newValue, &counter);
    return counter;
}

} // namespace Site
