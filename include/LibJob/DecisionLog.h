#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibJob/JobSpec.h>
#include <LibJob/TaskName.h>

#include <string_view>

namespace Jobs {

/// Receives each scheduling decision, and how long what follows from it took, for the log and the
/// metrics.
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

    /// A long-running task has been away for a long time, for a reason that \p inputs names. These
    /// lines are bounded, and tell what no other line does, so they should be kept when other lines
    /// are left out.
    virtual void noteInterruption(const TaskName &task, std::string_view inputs)
    {
        note(task.text(), "interrupted", inputs);
    }

    /// An event in the life of a worker. These are rare and explain many decisions on tasks, so
    /// they should be kept when other lines are left out.
    virtual void noteWorker(std::string_view worker, std::string_view event,
                            std::string_view inputs)
    {
        note(worker, event, inputs);
    }

    /// A new job is beyond its customer's rate of submission.
    virtual void noteJobInExcess(const JobId & /*job*/, const Core::CustomerId & /*customer*/) { }

    /// A worker has confirmed the start of a task, which had been able to start for \p waited.
    virtual void noteStarted(const QueueId & /*queue*/, int /*step*/, Core::Duration /*waited*/) { }

    /// A report has shown the end of a run. No renewal had been open at the worker for
    /// \p unwatched before the one that showed it, so the run may have ended that much earlier.
    virtual void noteEndKnown(const QueueId & /*queue*/, int /*step*/, Core::Duration /*unwatched*/)
    {
    }

    /// The end of a job, which callers may see from now on, is durable; it was learned \p after
    /// earlier.
    virtual void noteEndDurable(Core::Duration /*after*/) { }
};

} // namespace Jobs
