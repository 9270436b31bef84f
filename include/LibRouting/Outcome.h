#pragma once

#include <LibCore/Time.h>

#include <string>
#include <variant>

namespace Routing {

/// Pass on the whole answer of this attempt, whatever its status.
struct Answered
{
    int attempt = 0;

    bool operator==(const Answered &) const = default;
};

/// Nothing of the request was ever handed to a backend server.
struct RefusedNotRun
{
    /// When the caller should come back.
    Core::Instant retryAfter;
    std::string reason;

    bool operator==(const RefusedNotRun &) const = default;
};

/// Bytes were sent and no whole answer came; the request may or may not have run.
struct UnknownOutcome
{
    std::string reason;

    bool operator==(const UnknownOutcome &) const = default;
};

/// The one final answer to a caller.
using Outcome = std::variant<Answered, RefusedNotRun, UnknownOutcome>;

} // namespace Routing
