#pragma once

#include <LibCore/Resources.h>
#include <LibTask/TaskSpec.h>

#include <string>

namespace Task {

enum class AttemptPhase {
    Running,
    /// Ended with success; nothing of it runs any more.
    Finished,
    /// Ended by its own fault or the worker's; nothing of it runs any more.
    Failed,
    /// Stopped on command or because its lease lapsed; nothing of it runs any more.
    Stopped,
};

/// What a worker says of one attempt. Usage lags; the phase is the truth at the time of the answer.
struct AttemptReport
{
    AttemptId attempt;
    AttemptPhase phase = AttemptPhase::Running;
    Core::Resources used;
    /// The newest checkpoint, from which another attempt can resume; empty if there is none.
    std::string checkpoint;
    /// Tail latency or run time relative to the task running alone; 1 is undisturbed.
    double slowdown = 1.0;
    /// Why the attempt failed, for people.
    std::string detail;

    bool operator==(const AttemptReport &) const = default;
};

} // namespace Task
