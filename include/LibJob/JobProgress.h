#pragma once

#include <LibCore/Identifier.h>
#include <LibJob/JobSpec.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Jobs {

enum class JobState {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
};

/// `queued`, `running`, `completed`, `failed` or `cancelled`.
const char *jobStateText(JobState state);

/// What has become of the tasks of a step.
struct StepProgress
{
    /// Indexed by task.
    std::vector<bool> isDone;
    /// The numbers of the failed runs by task, in whatever order their ends were reported; a task
    /// without any is missing. Those of a gang stand under its first member.
    std::map<int, std::set<std::int64_t>> failedRuns;
    /// Runs up to this number whose fate nobody knows: their leases have expired, and what they
    /// may have done doesn't count. Durable before the task is started again.
    std::map<int, std::int64_t> abandonedRuns;

    int doneCount() const;

    bool operator==(const StepProgress &) const = default;
};

/// The durable part of a job's execution. Runs aren't part of it: a new owner asks the workers.
struct JobProgress
{
    /// Queued until a worker has begun a task or may have, then running until the end is decided.
    JobState state = JobState::Queued;
    /// Steps of each occurrence that is due and hasn't ended.
    std::map<int, std::vector<StepProgress>> occurrences;
    /// Occurrences that have ended.
    std::set<int> endedOccurrences;
    /// Only these workers may have been told to start a task of the job.
    std::set<Core::VmId> workers;
    /// When the end was decided, in Unix milliseconds.
    std::int64_t endedUnixMs = 0;

    bool isFinal() const { return state != JobState::Running && state != JobState::Queued; }

    bool operator==(const JobProgress &) const = default;
};

} // namespace Jobs
