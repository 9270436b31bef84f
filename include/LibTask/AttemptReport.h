#pragma once

#include <LibCore/Resources.h>
#include <LibTask/TaskSpec.h>

#include <string>

namespace Task {

enum class AttemptPhase {
    Running,
    /// Succeeded; no process of the attempt is left.
    Finished,
    /// Failed because of an error in the task or on the worker; no process of the attempt is left.
    Failed,
    /// Stopped by a command or because its lease expired; no process of the attempt is left.
    Stopped,
};

/// A worker's report on one attempt. The phase is exact at the time of the answer; the resource
/// usage may be older.
struct AttemptReport
{
    AttemptId attempt;
    AttemptPhase phase = AttemptPhase::Running;
    Core::Resources used;
    /// The newest checkpoint from which another attempt can resume; empty if there is none.
    std::string checkpoint;
    /// Tail latency or run time as a multiple of that on an otherwise idle worker; 1 means no
    /// interference.
    double slowdown = 1.0;
    /// A human-readable reason for the failure.
    std::string detail;

    bool operator==(const AttemptReport &) const = default;
};

} // namespace Task
