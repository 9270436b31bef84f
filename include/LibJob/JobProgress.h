#pragma once

#include <LibCore/Identifier.h>
#include <LibJob/CrashHistory.h>
#include <LibJob/JobSpec.h>
#include <LibJob/OccurrenceSet.h>

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

/// True if the job has ended, so that its state won't change any more.
constexpr bool isFinal(JobState state)
{
    return state != JobState::Queued && state != JobState::Running;
}

/// Returns `queued`, `running`, `completed`, `failed` or `cancelled`.
const char *jobStateText(JobState state);

/// Durable progress of the tasks of one step.
struct StepProgress
{
    /// Indexed by task.
    std::vector<bool> isDone;
    /// Numbers of failed runs by task index; tasks without failures have no entry. The order in
    /// which the failures were reported doesn't matter. Failures of a gang are stored under index
    /// 0.
    std::map<int, std::set<std::int64_t>> failedRuns;
    /// By task index, the number up to which the task's runs are abandoned: any such run may have
    /// existed, its lease has expired, and its outcome is unknown. Results of these runs are
    /// ignored. Must be durable before the task is started again.
    std::map<int, std::int64_t> abandonedRuns;
    /// By task index; a task without an entry has an empty history. Must be durable before the task
    /// is started again.
    std::map<int, CrashHistory> crashHistories;

    int doneCount() const;
    /// True if no task is done, has failed, was abandoned or has crashed a worker.
    bool isUntouched() const;

    bool operator==(const StepProgress &) const = default;
};

/// The durable part of a job's execution. Runs aren't part of it: a new owner learns of them from
/// the workers' reports.
struct JobProgress
{
    /// Queued until a worker has shown that it started a task, then running until the job ends.
    JobState state = JobState::Queued;
    /// By occurrence number, the progress of each step; only occurrences that have begun and
    /// haven't ended. The record of a scheduled job omits those of which all steps are untouched.
    std::map<int, std::vector<StepProgress>> occurrences;
    OccurrenceSet endedOccurrences;
    /// When the job ended, in Unix milliseconds; 0 before that.
    std::int64_t endedUnixMs = 0;

    bool isFinal() const { return Jobs::isFinal(state); }

    bool operator==(const JobProgress &) const = default;
};

} // namespace Jobs
