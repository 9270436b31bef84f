#pragma once

#include <LibJob/JobSpec.h>

#include <compare>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Jobs {

/// Identifies a task of one occurrence of a job.
struct TaskName
{
    JobId job;
    int occurrence = 0;
    int step = 0;
    int index = 0;

    /// Returns `JOB.OCCURRENCE.STEP.INDEX`.
    std::string text() const;
    static std::optional<TaskName> parse(std::string_view text);

    auto operator<=>(const TaskName &) const = default;
};

} // namespace Jobs

template<>
struct std::hash<Jobs::TaskName>
{
    std::size_t operator()(const Jobs::TaskName &name) const noexcept
    {
        const std::size_t place = static_cast<std::size_t>(name.occurrence) * 1'000'003U
            + static_cast<std::size_t>(name.step) * 8191U + static_cast<std::size_t>(name.index);
        return std::hash<Jobs::JobId>()(name.job) ^ (place * 0x9E3779B97F4A7C15U);
    }
};
