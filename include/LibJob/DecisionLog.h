#pragma once

#include <LibJob/TaskName.h>

#include <string_view>

namespace Jobs {

/// Receives each scheduling decision for the log.
class DecisionLog
{
public:
    DecisionLog() = default;
    DecisionLog(const DecisionLog &) = delete;
    DecisionLog &operator=(const DecisionLog &) = delete;
    virtual ~DecisionLog() = default;

    /// \p subject names a task or job, \p event is the decision, and \p inputs is what it was based
    /// on, usually as `key=value` pairs.
    virtual void note(std::string_view subject, std::string_view event, std::string_view inputs)
        = 0;

    /// A decision that ends a job against its caller's wish. These are rare, so they should be kept
    /// when other lines are left out.
    virtual void noteJobGivenUp(const TaskName &task, std::string_view event,
                                std::string_view inputs)
    {
        note(task.text(), event, inputs);
    }

    /// An event in the life of a worker. These are rare and explain many decisions on tasks, so
    /// they should be kept when other lines are left out.
    virtual void noteWorker(std::string_view worker, std::string_view event,
                            std::string_view inputs)
    {
        note(worker, event, inputs);
    }
};

} // namespace Jobs
