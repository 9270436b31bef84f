#include <LibJob/JobSpec.h>

#include <algorithm>

namespace Jobs {

/// In microseconds, and with the time between the epochs of both clocks, this fits an Instant.
static constexpr std::int64_t maxDueUnixMs = 4'000'000'000'000'000;

bool JobSpec::isLongRunning() const
{
    return std::any_of(steps.begin(), steps.end(),
                       [](const StepSpec &step) { return step.isLongRunning; });
}

std::int64_t JobSpec::dueUnixMs(int occurrence) const
{
    std::int64_t sinceFirst = 0;
    std::int64_t due = 0;
    const bool isTooLarge
        = __builtin_mul_overflow(std::int64_t(occurrence), intervalMs, &sinceFirst)
        || __builtin_add_overflow(firstDueUnixMs, sinceFirst, &due);
    if (isTooLarge)
        return intervalMs < 0 ? 0 : maxDueUnixMs;
    return std::clamp<std::int64_t>(due, 0, maxDueUnixMs);
}

} // namespace Jobs
