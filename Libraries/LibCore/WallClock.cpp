#include <LibCore/WallClock.h>

#include <chrono>

namespace Core {

std::int64_t unixMillisecondsNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::floor<std::chrono::milliseconds>(now).count();
}

} // namespace Core
