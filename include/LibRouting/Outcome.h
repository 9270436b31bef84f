#pragma once

#include <LibCore/Time.h>

#include <string>
#include <variant>

namespace Routing {

/// The caller gets the whole answer of this attempt, whatever its status.
struct Answered
{
    int attempt = 0;

    bool operator==(const Answered &) const = default;
};

/// No part of the request was sent to a backend server.
struct RefusedNotRun
{
    /// When the caller should retry.
    Core::Instant retryAfter;
    std::string reason;

    bool operator==(const RefusedNotRun &) const = default;
};

/// Bytes were sent, but no whole answer was received; the request may have run.
struct UnknownOutcome
{
    std::string reason;

    bool operator==(const UnknownOutcome &) const = default;
};

/// The final answer to a caller.
using Outcome = std::variant<Answered, RefusedNotRun, UnknownOutcome>;

} // namespace Routing
