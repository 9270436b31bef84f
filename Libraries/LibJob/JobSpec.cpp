#include <LibJob/JobSpec.h>

#include <algorithm>

namespace Jobs {

bool JobSpec::isLongRunning() const
{
    return std::any_of(steps.begin(), steps.end(),
                       [](const StepSpec &step) { return step.isLongRunning; });
}

} // namespace Jobs
