#pragma once

#include <prometheus/family.h>
#include <prometheus/histogram.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace Site {

/// The histograms of a family with the labels `queue` and `step`. Finding one that was used before
/// is cheaper here than in the family. Not thread-safe.
class HistogramsByStep
{
public:
    /// Steps from this one on share a histogram, so that the number of steps in callers' jobs
    /// doesn't add metrics.
    static constexpr int lastOwnStep = 4;

    HistogramsByStep(prometheus::Family<prometheus::Histogram> &family,
                     prometheus::Histogram::BucketBoundaries boundaries);

    /// Adds a histogram to the family if the pair is new. \p step is counted from 0.
    prometheus::Histogram &at(std::string_view queue, int step);

private:
    prometheus::Family<prometheus::Histogram> &m_family;
    prometheus::Histogram::BucketBoundaries m_boundaries;
    /// By queue, then by step. The family keeps its histograms as long as it lives.
    std::map<std::string, std::map<int, prometheus::Histogram *>, std::less<>> m_histograms;
};

} // namespace Site
