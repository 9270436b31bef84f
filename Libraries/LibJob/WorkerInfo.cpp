#include <LibJob/WorkerInfo.h>

#include <algorithm>

namespace Jobs {

/// Index of the label that names the rack.
static constexpr std::size_t rackLabelIndex = 1;

bool WorkerInfo::hasLabel(const std::string &label) const
{
    return std::find(labels.begin(), labels.end(), label) != labels.end();
}

std::string WorkerInfo::rack() const
{
    return labels.size() > rackLabelIndex ? labels[rackLabelIndex] : std::string();
}

} // namespace Jobs
