#include <LibCore/Resources.h>

namespace Core {

bool Resources::fitsIn(const Resources &available) const
{
    return milliCores <= available.milliCores && mebibytes <= available.mebibytes
        && accelerators <= available.accelerators;
}

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

Resources Resources::operator+(const Resources &other) const
{
    return { milliCores + other.milliCores, mebibytes + other.mebibytes,
             accelerators + other.accelerators };
}

Resources Resources::operator-(const Resources &other) const
{
    return { milliCores - other.milliCores, mebibytes - other.mebibytes,
             accelerators - other.accelerators };
}

std::ostream &operator<<(std::ostream &stream, const Resources &resources)
{
    return stream << resources.milliCores << " millicores, " << resources.mebibytes << " MiB, "
                  << resources.accelerators << " accelerators";
}

} // namespace Core
