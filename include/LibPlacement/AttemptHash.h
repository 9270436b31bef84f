#pragma once

#include <LibTask/TaskSpec.h>

#include <cstddef>
#include <functional>

namespace Placement {

/// Lets attempts be keys of unordered containers. It isn't declared noexcept, so that the standard
/// library keeps the hash in each node instead of computing it again along a bucket's chain.
struct AttemptHash
{
    std::size_t operator()(const Task::AttemptId &attempt) const
    {
        constexpr std::size_t oddMultiplier = 0x9e3779b97f4a7c15U;
        return std::hash<Core::TaskId>()(attempt.task) ^ (attempt.number * oddMultiplier);
    }
};

} // namespace Placement
