#include <LibCore/Resources.h>

#include <algorithm>

namespace Core {

std::string Resources::firstDimensionAbove(const Resources &available) const
{
    if (milliCores > available.milliCores)
        return "processors";
    if (mebibytes > available.mebibytes)
        return "memory";
    if (accelerators > available.accelerators)
        return "accelerators";
    return {};
}

static double fraction(std::int64_t used, std::int64_t capacity)
{
    return capacity > 0 ? static_cast<double>(used) / static_cast<double>(capacity) : 0.0;
}

double dominantShare(const Resources &used, const Resources &capacity)
{
    return std::max({ fraction(used.milliCores, capacity.milliCores),
                      fraction(used.mebibytes, capacity.mebibytes),
                      fraction(used.accelerators, capacity.accelerators) });
}

std::ostream &operator<<(std::ostream &stream, const Resources &resources)
{
    return stream << resources.milliCores << " millicores, " << resources.mebibytes << " MiB, "
                  << resources.accelerators << " accelerators";
}

} // namespace Core
