#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibJob/TaskName.h>

#include <cstdint>
#include <string>
#include <variant>

namespace Jobs {

/// Orders the commands to a worker: it rejects a token lower than the highest that it has seen.
/// Each owner uses higher ones than all owners before it, and a higher one than before for each
/// further process of a worker.
using FencingToken = std::int64_t;

/// A point in time on both clocks that the scheduler uses.
struct TimePoint
{
    /// Monotonic; includes time during which the VM was suspended.
    Core::Instant instant;
    std::int64_t unixMs = 0;

    auto operator<=>(const TimePoint &) const = default;
};

/// Starts a run of a task. Only the process that the command names may carry it out: the lease
/// deadline means nothing on the clock of another one.
struct StartCommand
{
    Core::VmId worker;
    /// IP address and port of the worker.
    std::string address;
    /// When the process of the worker started that the command is meant for.
    std::int64_t processStartUnixMs = 0;
    TaskName task;
    /// Number of the run; each further run of the task has a higher one.
    std::int64_t run = 0;
    std::string payload;
    /// The checkpoint from which the run resumes; empty to start from the beginning.
    std::string checkpoint;
    /// When the lease of the run ends unless it is renewed, in milliseconds on the worker's own
    /// clock.
    std::int64_t leaseDeadlineMs = 0;
    FencingToken token = 0;
    bool isOfGang = false;
    /// The task belongs to one of the most urgent queues, or is a long-running one that was
    /// interrupted.
    bool isUrgent = false;

    bool operator==(const StartCommand &) const = default;
};

/// Stops a run of a task.
struct StopCommand
{
    Core::VmId worker;
    std::string address;
    TaskName task;
    std::int64_t run = 0;
    FencingToken token = 0;

    bool operator==(const StopCommand &) const = default;
};

/// Limits a running task to \c percent of the processors that it requested.
struct ThrottleCommand
{
    Core::VmId worker;
    std::string address;
    TaskName task;
    std::int64_t run = 0;
    int percent = 100;
    FencingToken token = 0;

    bool operator==(const ThrottleCommand &) const = default;
};

/// Renews the lease of all tasks that run on a worker, and requests a report of running and ended
/// runs. Any process of the worker may report; the lease and the acknowledgement are for the one
/// that the command names.
struct RenewCommand
{
    Core::VmId worker;
    std::string address;
    /// The new end of the lease in milliseconds on the worker's own clock; 0 requests a report
    /// without renewing the lease.
    std::int64_t leaseDeadlineMs = 0;
    FencingToken token = 0;
    /// The worker may delete its records of ended runs up to and including this number; 0 for none.
    /// Each process of a worker numbers its ends from 1, so the number must reach only the process
    /// that has reported them.
    std::int64_t acknowledgedEnd = 0;
    /// How long the worker may delay its answer while no run ends, in milliseconds (long polling).
    std::int64_t waitMs = 0;
    /// When the process of the worker started that `leaseDeadlineMs` and `acknowledgedEnd` are
    /// meant for; 0 if it isn't known.
    std::int64_t processStartUnixMs = 0;

    bool operator==(const RenewCommand &) const = default;
};

using Command = std::variant<StartCommand, StopCommand, ThrottleCommand>;

enum class StartOutcome {
    Started,
    /// The worker has seen the fencing token of a newer owner.
    Fenced,
    /// The worker has already seen a run of the task with this number or a higher one.
    OldRun,
    /// The lease deadline had passed when the command arrived.
    Late,
    /// The worker lacks the free capacity.
    NoRoom,
    /// The worker rejected the command because it is unhealthy or overloaded, or for an unknown
    /// reason.
    Refused,
    /// Another worker, or the worker under another ID, answers at the address.
    OtherIncarnation,
    /// Another process of the worker answers: the one that the command was meant for has ended.
    /// Nothing was sent.
    OtherProcess,
    /// The command is malformed or can't be executed.
    Invalid,
    /// No answer in time, or none before another process of the worker answered: the task may be
    /// running, or may still be started. Says nothing about what ended the process.
    Unknown,
    /// The connection ended before the answer: the task may be running, or may still be started.
    Interrupted,
    /// The command wasn't sent.
    NotSent,
    /// The owner itself was too late to send it, or its ownership wasn't proven: this says nothing
    /// about the worker.
    Withheld,
};

/// Why a renewal wasn't answered.
enum class RenewalFailure {
    /// No answer came in time: the worker may be cut off, slow or have crashed.
    TimedOut,
    /// The connection broke or was refused: the worker's process has probably ended.
    BrokenOff,
};

const char *startOutcomeText(StartOutcome outcome);

} // namespace Jobs
