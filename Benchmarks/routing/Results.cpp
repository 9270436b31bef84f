#include "Results.h"

#include <algorithm>
#include <cmath>

namespace RoutingBenchmark {

double Latencies::quantile(double quantile) const
{
    if (m_values.empty())
        return 0;
    std::vector<Core::Duration> values = m_values;
    const auto last = static_cast<double>(values.size() - 1);
    const auto rank = static_cast<std::ptrdiff_t>(std::ceil(quantile * last));
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return static_cast<double>(values[static_cast<std::size_t>(rank)].count()) / 1000;
}

double Results::worstSecond() const
{
    double worst = 0;
    for (const auto &[second, latencies] : bySecond)
        worst = std::max(worst, latencies.quantile(0.99));
    return worst;
}

} // namespace RoutingBenchmark
