#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibPlatform/VmEntry.h>
#include <LibRules/RuleSet.h>
#include <LibTask/AttemptReport.h>
#include <LibTask/TaskSpec.h>

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace Placement {

/// A task that waits for a worker.
struct WaitingTask
{
    Task::TaskSpec spec;
    Core::Instant submittedAt;
    /// The number of attempts that have ended so far, for any reason.
    std::uint32_t endedAttempts = 0;

    bool operator==(const WaitingTask &) const = default;
};

/// An attempt that runs, or may be running, on its worker.
struct PlacedAttempt
{
    Task::TaskSpec spec;
    Task::AttemptId attempt;
    Core::VmId worker;
    Core::Instant startedAt;

    bool operator==(const PlacedAttempt &) const = default;
};

/// Start the waiting task on `worker`, where the scheduler has reserved capacity for it.
struct StartDecision
{
    Core::TaskId task;
    Core::VmId worker;
    /// Shown to operators.
    std::string reason;

    bool operator==(const StartDecision &) const = default;
};

/// Take a checkpoint of the attempt and stop it. The reservation is held until the stop is proven.
struct EvictDecision
{
    Task::AttemptId attempt;
    Core::VmId worker;
    std::string reason;

    bool operator==(const EvictDecision &) const = default;
};

/// Limit the attempt to `percent` of its declared CPU; 100 lifts the limit.
struct ThrottleDecision
{
    Task::AttemptId attempt;
    Core::VmId worker;
    int percent = 100;
    std::string reason;

    bool operator==(const ThrottleDecision &) const = default;
};

/// Hold the task, since it fails wherever it runs: it gets no further attempt unless it is
/// passed to addWaiting() again.
struct HoldDecision
{
    Core::TaskId task;
    std::string reason;

    bool operator==(const HoldDecision &) const = default;
};

using Decision = std::variant<StartDecision, EvictDecision, ThrottleDecision, HoldDecision>;

/// Decides which task runs on which worker of one failure domain.
///
/// A scheduler is deterministic: the same calls with the same times give the same decisions. It
/// holds a reservation for each attempt from the start decision until attemptEnded(), and no start
/// decision makes the reservations on a worker exceed the worker's capacity.
class Scheduler
{
public:
    Scheduler() = default;
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;
    virtual ~Scheduler() = default;

    virtual void setRules(const Rules::RuleSet &rules) = 0;
    /// Sets the complete list of VMs of this failure domain. A worker that is leaving or no longer
    /// listed gets no new attempts; the reservations on it are held until their attempts end.
    virtual void setWorkers(const std::vector<Platform::VmEntry> &workers) = 0;

    virtual void addWaiting(const WaitingTask &task) = 0;
    /// Removes a waiting task that was cancelled or has moved to another failure domain.
    virtual void removeWaiting(const Core::TaskId &task) = 0;

    /// Takes over an attempt that an earlier scheduler placed. Capacity is reserved for it even if
    /// it doesn't fit.
    virtual void adopt(const PlacedAttempt &attempt) = 0;
    /// Reports the number and the worker of the attempt that a start decision led to.
    virtual void attemptStarted(const PlacedAttempt &attempt) = 0;
    /// Reports that a start decision was not carried out and never will be; the task waits again.
    virtual void startAbandoned(const Core::TaskId &task) = 0;
    /// Reports that the attempt has provably ended, which frees its capacity.
    virtual void attemptEnded(const Task::AttemptId &attempt, Task::AttemptPhase phase,
                              Core::Instant now)
        = 0;
    /// Reports a delayed observation of a running attempt.
    virtual void observe(const Task::AttemptReport &report, Core::Instant now) = 0;

    /// Runs one scheduling pass and returns its decisions, of which at most \p maximumStarts are
    /// starts.
    virtual std::vector<Decision> decide(Core::Instant now, std::size_t maximumStarts) = 0;

    /// The reason why no worker of the failure domain could ever run \p spec, with the dimension
    /// that doesn't fit if a single one exceeds every worker. Empty if the declared size fits the
    /// total capacity of some worker, whatever the worker's state, or if no workers are known yet.
    /// A negative size may be rejected regardless.
    virtual std::string reasonNeverFits(const Task::TaskSpec &spec) const = 0;
    /// The reason why the task waits, or the state of its attempt, as a text for operators.
    virtual std::string explain(const Core::TaskId &task) const = 0;
};

} // namespace Placement
