#include <LibSite/HistogramsByStep.h>

#include <algorithm>

namespace Site {

HistogramsByStep::HistogramsByStep(prometheus::Family<prometheus::Histogram> &family,
                                   prometheus::Histogram::BucketBoundaries boundaries)
    : m_family(family)
    , m_boundaries(std::move(boundaries))
{
}

prometheus::Histogram &HistogramsByStep::at(std::string_view queue, int step)
{
    const int label = std::min(step, lastOwnStep);
    auto steps = m_histograms.find(queue);
    if (steps == m_histograms.end())
        steps = m_histograms.emplace(std::string(queue), std::map<int, prometheus::Histogram *>())
                    .first;
    prometheus::Histogram *&histogram = steps->second[label];
    if (!histogram)
        histogram = &m_family.Add({ { "queue", steps->first }, { "step", std::to_string(label) } },
                                  m_boundaries);
    return *histogram;
}

} // namespace Site
