#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>
#include <LibJob/JobId.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Jobs {

using QueueId = Core::Identifier<struct QueueTag>;
using ServiceId = Core::Identifier<struct ServiceTag>;

/// A set of identical tasks of a job.
struct StepSpec
{
    int taskCount = 1;
    /// What each task requests.
    Core::Resources need;
    /// The submitter's estimate of a task's duration.
    std::int64_t estimateMs = 0;
    /// Indices of earlier steps that must have completed before this one starts.
    std::vector<int> after;
    bool isCheckpointing = false;
    /// The tasks are co-scheduled: they start, end and fail together.
    bool isGang = false;
    /// Recorded, but not used by the scheduler.
    bool isRackSensitive = false;
    /// The tasks run only on workers with this label; empty for any worker.
    std::string requiredLabel;
    /// Label of the rack that holds the tasks' data. Workers in it are preferred; empty for no
    /// preference.
    std::string dataRack;
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    int maxPerWorker = 0;
    /// Recorded, but not used by the scheduler.
    bool isSpeculative = false;
    /// The tasks run until the job is cancelled and are restarted whenever they end.
    bool isLongRunning = false;
    /// Name of the image that the tasks run; tasks of one image are expected to interfere alike.
    /// Empty if the submitter doesn't state it; all such tasks count as one image.
    std::string image;
    /// Target of a serving task's tail latency in milliseconds; 0 for tasks that don't serve
    /// requests.
    std::int64_t tailTargetMs = 0;
    /// The tasks are best-effort: they use processor time that others leave, and their requested
    /// processors don't count as used. Memory and accelerators do.
    bool isBestEffort = false;
    /// How many tasks of a long-running step the scheduler may keep unavailable at a time.
    /// Recorded, but not used by the scheduler.
    int maxUnavailable = 0;

    bool operator==(const StepSpec &) const = default;
};

/// A job as submitted by a caller.
struct JobSpec
{
    /// Passed to each task unchanged.
    std::string payload;
    std::vector<StepSpec> steps;
    static constexpr std::int64_t maxRepeatCount = 1'000'000'000;

    /// Number of scheduled occurrences, up to maxRepeatCount; 0 for a job that runs once,
    /// immediately.
    std::int64_t repeatCount = 0;
    /// When the first occurrence is due, and the interval to each further one; unused for a job
    /// that runs once.
    std::int64_t firstDueUnixMs = 0;
    std::int64_t intervalMs = 0;

    bool isScheduled() const { return repeatCount > 0; }
    std::int64_t occurrenceCount() const { return repeatCount > 0 ? repeatCount : 1; }
    /// When an occurrence of a scheduled job is due, in Unix milliseconds. Times that are too far
    /// in the past or the future for a Core::Instant become the nearest ones that aren't.
    std::int64_t dueUnixMs(int occurrence) const;
    bool isLongRunning() const;

    bool operator==(const JobSpec &) const = default;
};

} // namespace Jobs
