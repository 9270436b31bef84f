#pragma once

#include <string_view>

namespace Jobs {

/// Is told of each decision on a task, for the log.
class DecisionLog
{
public:
    DecisionLog() = default;
    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;
    virtual ~DecisionLog() = default;

    /// \p subject is a task or job, \p event what was decided, \p inputs what decided it.
    virtual void note(std::string_view subject, std::string_view event, std::string_view inputs)
        = 0;
};

} // namespace Jobs
