#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>

namespace Core {

/// An amount of each dimension that a worker has or a task needs.
struct Resources
{
    std::int64_t milliCores = 0;
    std::int64_t mebibytes = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    /// True if every dimension is at most that of \p available.
    bool fitsIn(const Resources &available) const
    {
        return milliCores <= available.milliCores && mebibytes <= available.mebibytes
            && accelerators <= available.accelerators;
    }

    /// The name of the first dimension that exceeds \p available; empty if all fit.
    std::string firstDimensionAbove(const Resources &available) const;

    Resources operator+(const Resources &other) const
    {
        return { milliCores + other.milliCores, mebibytes + other.mebibytes,
                 accelerators + other.accelerators };
    }
    Resources operator-(const Resources &other) const
    {
        return { milliCores - other.milliCores, mebibytes - other.mebibytes,
                 accelerators - other.accelerators };
    }
};

/// The largest fraction that \p used is of any dimension of \p capacity; a dimension without
/// capacity doesn't count.
double dominantShare(const Resources &used, const Resources &capacity);

std::ostream &operator<<(std::ostream &stream, const Resources &resources);

} // namespace Core
