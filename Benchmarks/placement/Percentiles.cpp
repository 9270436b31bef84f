#include "Percentiles.h"

#include <algorithm>

namespace PlacementBenchmark {

double Percentiles::at(double part) const
{
    if (m_samples.empty())
        return 0.0;
    const auto last = static_cast<double>(m_samples.size() - 1);
    const auto position = m_samples.begin() + static_cast<std::ptrdiff_t>(part * last);
    std::nth_element(m_samples.begin(), position, m_samples.end());
    return *position;
}

} // namespace PlacementBenchmark
