#include <LibCore/SteadyClock.h>

#include <ctime>

namespace Core {

Instant steadyNow()
{
    const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Duration>(sinceEpoch));
}

Instant suspendAwareNow()
{
    timespec time {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return Instant(std::chrono::seconds(time.tv_sec)
                   + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(time.tv_nsec)));
}

std::chrono::steady_clock::time_point toSteadyTimePoint(Instant instant)
{
    return std::chrono::steady_clock::time_point(instant.time_since_epoch());
}

} // namespace Core
