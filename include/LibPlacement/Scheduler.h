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
    /// How many attempts have ended so far, for whatever reason.
    std::uint32_t endedAttempts = 0;

    bool operator==(const WaitingTask &) const = default;
};

/// An attempt that occupies, or may occupy, its worker.
struct PlacedAttempt
{
    Task::TaskSpec spec;
    Task::AttemptId attempt;
    Core::VmId worker;
    Core::Instant startedAt;

    bool operator==(const PlacedAttempt &) const = default;
};

/// Start the waiting task on `worker`; the scheduler has reserved the room.
struct StartDecision
{
    Core::TaskId task;
    Core::VmId worker;
    /// For people and for `explain`.
    std::string reason;

    bool operator==(const StartDecision &) const = default;
};

/// Take a checkpoint of the attempt and stop it. The reservation stays until the stop is proven.
struct EvictDecision
{
    Task::AttemptId attempt;
    Core::VmId worker;
    std::string reason;

    bool operator==(const EvictDecision &) const = default;
};

/// Limit the attempt to `percent` of its declared processors; 100 lifts the limit.
struct ThrottleDecision
{
    Task::AttemptId attempt;
    Core::VmId worker;
    int percent = 100;
    std::string reason;

    bool operator==(const ThrottleDecision &) const = default;
};

/// The task fails wherever it runs: it isn't tried again until an operator or its team says so.
struct HoldDecision
{
    Core::TaskId task;
    std::string reason;

    bool operator==(const HoldDecision &) const = default;
};

using Decision = std::variant<StartDecision, EvictDecision, ThrottleDecision, HoldDecision>;

/// Decides which task runs on which worker of one failure domain. Deterministic: the same calls
/// with the same times give the same decisions. It holds reservations from the moment of a start
/// decision until `attemptEnded`, and never reserves more of a worker than its capacity.
class Scheduler
{
public:
    Scheduler() = default;
    Scheduler(const Scheduler &) = delete;
    Scheduler &operator=(const Scheduler &) = delete;
    virtual ~Scheduler() = default;

    virtual void setRules(const Rules::RuleSet &rules) = 0;
    /// The workers of this failure domain, all of them. One that is leaving or missing gets no new
    /// work; the reservations on it stay until their attempts end.
    virtual void setWorkers(const std::vector<Platform::VmEntry> &workers) = 0;

    virtual void addWaiting(const WaitingTask &task) = 0;
    /// Forgets a waiting task, because it was cancelled or has moved to another failure domain.
    virtual void removeWaiting(const Core::TaskId &task) = 0;

    /// Takes over an attempt that a predecessor placed. It is reserved even if it doesn't fit.
    virtual void adopt(const PlacedAttempt &attempt) = 0;
    /// Names the attempt that came of a start decision.
    virtual void attemptStarted(const PlacedAttempt &attempt) = 0;
    /// The start decision was not carried out, and certainly never will be; the task waits again.
    virtual void startAbandoned(const Core::TaskId &task) = 0;
    /// The end of the attempt is proven; its room is free.
    virtual void attemptEnded(const Task::AttemptId &attempt, Task::AttemptPhase phase,
                              Core::Instant now)
        = 0;
    /// A lagging observation of a running attempt.
    virtual void observe(const Task::AttemptReport &report, Core::Instant now) = 0;

    /// The next decisions, at most \p maximumStarts of them starts.
    virtual std::vector<Decision> decide(Core::Instant now, std::size_t maximumStarts) = 0;

    /// Empty if some worker of the failure domain, listed or not out of order, could ever run \p
    /// spec; otherwise why not, with the dimension that doesn't fit.
    virtual std::string reasonNeverFits(const Task::TaskSpec &spec) const = 0;
    /// Why the task waits, or why it is where it is, for people.
    virtual std::string explain(const Core::TaskId &task) const = 0;
};

} // namespace Placement
