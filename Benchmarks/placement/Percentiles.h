#pragma once

#include <cstddef>
#include <vector>

namespace PlacementBenchmark {

/// Collects samples and answers percentiles of them.
class Percentiles
{
public:
    void add(double sample) { m_samples.push_back(sample); }
    std::size_t size() const { return m_samples.size(); }
    /// \p part is between 0 and 1; 0 if there are no samples.
    double at(double part) const;

private:
    mutable std::vector<double> m_samples;
};

} // namespace PlacementBenchmark
