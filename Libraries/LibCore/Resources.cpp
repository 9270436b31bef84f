#include <LibCore/Resources.h>

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

std::ostream &operator<<(std::ostream &stream, const Resources &resources)
{
    return stream << resources.milliCores << " millicores, " << resources.mebibytes << " MiB, "
                  << resources.accelerators << " accelerators";
}

} // namespace Core
