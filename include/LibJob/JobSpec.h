#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Jobs {

using JobId = Core::Identifier<struct JobTag>;
using QueueId = Core::Identifier<struct QueueTag>;
using ServiceId = Core::Identifier<struct ServiceTag>;

/// A set of equal tasks of a job.
struct StepSpec
{
    int taskCount = 1;
    Core::Resources need;
    /// The submitter's rough guess of a task's duration.
    std::int64_t estimateMs = 0;
    /// Steps, counted from 0, whose tasks must all have ended before this one starts.
    std::vector<int> after;
    bool isCheckpointing = false;
    /// The tasks only work together: they start, end and fail as one.
    bool isGang = false;
    bool isRackSensitive = false;
    std::string requiredLabel;
    std::string dataRack;
    /// How many tasks of the step may share a worker; 0 for any number.
    int mostPerWorker = 0;
    bool isSpeculative = false;
    /// The tasks run until the job is cancelled and are restarted however they end.
    bool isLongRunning = false;
    std::string image;
    /// The bound of the tail latency of a serving task in milliseconds; 0 for none.
    std::int64_t tailTargetMs = 0;
    /// The tasks use the processor time that others leave; their own isn't counted as used.
    bool isFiller = false;
    /// How many tasks of a long-running step may be away because of the scheduler.
    int mostMissing = 0;

    bool operator==(const StepSpec &) const = default;
};

/// What a caller asks for with one job.
struct JobSpec
{
    /// Handed to each task as it is.
    std::string payload;
    std::vector<StepSpec> steps;
    /// How many times the steps run; 0 for a job that runs once, at once.
    std::int64_t repeatCount = 0;
    std::int64_t firstDueUnixMs = 0;
    std::int64_t intervalMs = 0;

    bool isScheduled() const { return repeatCount > 0; }
    std::int64_t occurrenceCount() const { return repeatCount > 0 ? repeatCount : 1; }
    bool isLongRunning() const;

    bool operator==(const JobSpec &) const = default;
};

} // namespace Jobs
