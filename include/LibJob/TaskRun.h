#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>

namespace Jobs {

class WorkerState;

enum class RunPhase {
    /// A worker is chosen, but its assignment to the job isn't durable yet. No command was sent.
    Planned,
    /// The start command was sent and hasn't been answered yet.
    Starting,
    /// The start command got no answer. It may have been executed, or may still be.
    Uncertain,
    Running,
};

/// One run of a task on a worker, from its planning until it is known to be gone.
struct TaskRun
{
    std::int64_t number = 0;
    WorkerState *worker = nullptr;
    RunPhase phase = RunPhase::Planned;
    Core::Instant phaseBeganAt = {};
    /// When the worker was chosen; for an adopted run, when it was adopted.
    Core::Instant plannedAt = {};
    /// When the start command was sent; for an adopted run, when it was adopted.
    Core::Instant sentAt = {};
    /// The start command wasn't answered in time, so perhaps it never reached the worker.
    bool wasStartTimeout = false;
    /// When a report last listed the run as running; the epoch if none did.
    Core::Instant seenAt = {};
    /// The start command must not be sent before the commit with this number is durable.
    std::int64_t neededCommit = 0;
    /// The worker rejects the start command after this time, since its lease deadline has passed.
    Core::Instant startDeadline = {};
    /// Until a report lists the run, its lease is taken to end by this time, the longest that the
    /// worker grants from the latest delivery of the start command on. The epoch afterwards.
    Core::Instant longestLeaseEnd = {};
    /// The run belongs to one of the most urgent queues; see JobScheduler::isUrgent().
    bool isUrgent = false;
    bool isStopWanted = false;
    Core::Instant stopSentAt = {};
    /// When the worker confirmed a stop of this run; the epoch if it hasn't.
    Core::Instant stopAnsweredAt = {};
    int percentDone = 0;
    Core::Instant progressedAt = {};
    /// See RunningEntry::recentLoad.
    std::int64_t recentLoad = 0;
    /// Since when all reports have shown the tail latency of a serving task above its target; the
    /// epoch if the last report didn't.
    Core::Instant overTargetSince = {};
    int throttlePercent = 100;
    /// False while the throttle in force on the worker may differ from `throttlePercent`.
    bool isThrottleKnown = true;
    Core::Instant throttledAt = {};

    /// When the run was last known to exist on its worker; the epoch if it never was.
    Core::Instant lastSignAt() const
    {
        return std::max(seenAt, phase == RunPhase::Running ? phaseBeganAt : Core::Instant());
    }

    /// True until the start command is answered.
    bool isStartPending() const
    {
        return phase == RunPhase::Planned || phase == RunPhase::Starting;
    }

    /// A run that a report lists this long after its start has survived the start.
    static constexpr Core::Duration startTime = std::chrono::milliseconds(200);
    /// A run that was listed for this long doesn't crash its worker.
    static constexpr Core::Duration provenTime = std::chrono::seconds(5);

    /// False if the run may crash its worker at its start, as far as reports show.
    bool hasSurvivedStart() const { return hasRunFor(startTime); }
    /// True if a report has listed the run at least \p time after its start.
    bool hasRunFor(Core::Duration time) const
    {
        return seenAt != Core::Instant() && seenAt >= sentAt + time;
    }
};

/// State of a task on the owner.
struct TaskState
{
    /// Null while no run of the task can exist.
    std::unique_ptr<TaskRun> run;
    std::int64_t lastRun = 0;
    /// The task may be started again only once the commit with this number is durable.
    std::int64_t neededCommit = 0;
    std::string checkpoint;
    /// The worker where the task failed last.
    Core::VmId failedOn;
    /// When the last run for which this owner sent a start command, or which it adopted, became
    /// known to be gone; the epoch if there was none.
    Core::Instant lastRunEndedAt = {};
    /// A run that a former owner started may exist on a worker that hasn't answered this one.
    bool mayRunUnseen = false;
    /// Since when the task may not have run: the last sign of its last run, or, of a task that may
    /// have run under a former owner, when its job was due. The epoch if it certainly never ran.
    Core::Instant awaySince = {};

    /// A long-running task that was interrupted and hasn't run for longer is started before all
    /// others.
    static constexpr Core::Duration maxInterruption = std::chrono::milliseconds(2500);

    /// True if the task has no run, and its last one ended longer ago than `maxInterruption`.
    /// Meaningful for long-running tasks only.
    bool isOverdue(Core::Instant now) const
    {
        return !run && awaySince != Core::Instant() && now > awaySince + maxInterruption;
    }
};

} // namespace Jobs
