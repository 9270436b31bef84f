#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>

#include <string>

namespace Routing {

/// The properties of a caller's request on which decisions depend. The body isn't needed.
struct RequestInfo
{
    Core::RequestId id;
    Core::TeamId team;
    /// True if running the request twice has the same effect as running it once.
    bool isIdempotent = false;
    /// The caller's Idempotency-Key; empty if it gave none.
    std::string key;
    Core::Instant arrivedAt;
    /// The caller doesn't wait for the answer after this time.
    Core::Instant deadline;
    /// True if another failure domain has spilled the request over; it isn't spilled over again.
    bool isSpilledOver = false;

    bool operator==(const RequestInfo &) const = default;
};

} // namespace Routing
