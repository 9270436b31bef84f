#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibJob/TaskName.h>

#include <cstdint>
#include <string>
#include <variant>

namespace Jobs {

/// Which owner gives an order: a worker refuses a lower token than it has seen.
using FencingToken = std::int64_t;

/// The current time on the clocks that decisions need.
struct Moment
{
    /// Counts the time that the VM was suspended.
    Core::Instant instant;
    std::int64_t unixMs = 0;

    auto operator<=>(const Moment &) const = default;
};

struct StartCommand
{
    Core::VmId worker;
    std::string address;
    TaskName task;
    std::int64_t run = 0;
    std::string payload;
    std::string checkpoint;
    /// On the worker's own clock.
    std::int64_t leaseDeadlineMs = 0;
    FencingToken token = 0;

    bool operator==(const StartCommand &) const = default;
};

struct StopCommand
{
    Core::VmId worker;
    std::string address;
    TaskName task;
    std::int64_t run = 0;
    FencingToken token = 0;

    bool operator==(const StopCommand &) const = default;
};

/// Limits a running task to a share of its processors.
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

/// Renews the lease of all that runs on a worker, and asks what runs and what has ended.
struct RenewCommand
{
    Core::VmId worker;
    std::string address;
    /// On the worker's own clock; 0 to look without renewing.
    std::int64_t leaseDeadlineMs = 0;
    FencingToken token = 0;
    /// The worker may forget the ends up to this number.
    std::int64_t acknowledgedEnd = 0;
    /// How long the worker may wait for an end before it answers, in milliseconds.
    std::int64_t waitMs = 0;

    bool operator==(const RenewCommand &) const = default;
};

using Command = std::variant<StartCommand, StopCommand, ThrottleCommand>;

enum class StartOutcome {
    Started,
    /// A newer owner has given orders there.
    Fenced,
    /// A run with this or a higher number has been there.
    OldRun,
    /// The lease had expired before the order arrived.
    Late,
    NoRoom,
    /// The worker is unhealthy and did nothing.
    Refused,
    /// Another run of the worker answered.
    OtherIncarnation,
    /// The order can't be carried out as it is.
    Invalid,
    /// No answer: the task may run, or may yet start.
    Unknown,
    /// Nothing was sent.
    NotSent,
};

const char *startOutcomeText(StartOutcome outcome);

} // namespace Jobs
