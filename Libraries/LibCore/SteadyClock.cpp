#include <LibCore/SteadyClock.h>

namespace Core {

Instant steadyNow()
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Duration>(sinceEpoch));
}

std::chrono::steady_clock::time_point toSteadyTimePoint(Instant instant)
{
    return std::chrono::steady_clock::time_point(instant.time_since_epoch());
}

} // namespace Core
