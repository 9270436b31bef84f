#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <string>

namespace Routing {

/// What the decisions need to know of a caller's request. Its body stays with the shell.
struct RequestInfo
{
    Core::RequestId id;
    Core::TeamId team;
    /// True if running it twice has the effect of running it once.
    bool isIdempotent = false;
    /// The caller's Idempotency-Key; empty if it gave none.
    std::string key;
    Core::Instant arrivedAt;
    /// After this instant nobody waits for the answer.
    Core::Instant deadline;
    /// True if another failure domain passed it on to us; it isn't passed on again.
    bool isSpilledOver = false;

    bool operator==(const RequestInfo &) const = default;
};

} // namespace Routing
