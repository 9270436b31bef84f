#pragma once

#include <LibTask/TaskSpec.h>

#include <cstddef>
#include <functional>

namespace Placement {

/// Hashes an attempt id for unordered containers. The call operator is deliberately not noexcept:
/// the standard library then caches the hash in each node instead of recomputing it while it walks
/// a bucket's chain.
struct AttemptHash
{
    std::size_t operator()(const Task::AttemptId &attempt) const
    {
        // 2^64 divided by the golden ratio; spreads consecutive attempt numbers.
        constexpr std::size_t oddMultiplier = 0x9e3779b97f4a7c15U;
        return std::hash<Core::TaskId>()(attempt.task) ^ (attempt.number * oddMultiplier);
    }
};

} // namespace Placement
