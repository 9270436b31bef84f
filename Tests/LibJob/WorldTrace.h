#pragma once

#include <LibJob/DecisionLog.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <utility>

/// Writes all events to the standard error if the environment variable JOB_WORLD_TRACE is set, for
/// the replay of a seed.
class WorldTrace final : public Jobs::DecisionLog
{
public:
    void note(std::string_view subject, std::string_view event, std::string_view inputs) override;
    void noteInterruption(const Jobs::TaskName &task, std::string_view inputs) override;

    /// When a line last said why long-running tasks of a step don't run.
    std::map<std::pair<Jobs::JobId, int>, std::int64_t> interruptionsLoggedAtMs;
    std::int64_t nowMs = 0;
    std::size_t node = 0;
};
