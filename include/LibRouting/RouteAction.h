#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibRouting/Outcome.h>

#include <variant>
#include <vector>

namespace Routing {

/// Send the request to a backend server: on an idle connection if there is one, else on a new one.
/// The router itself gives up at the deadline by `Abandon`; the shell needs no timer of its own.
struct Send
{
    Core::RequestId request;
    int attempt = 0;
    Core::VmId server;
    Core::Instant attemptDeadline;

    bool operator==(const Send &) const = default;
};

/// Nothing more is awaited of this attempt; its connection is never used again. The shell either
/// closes it at once, or reads on and drops what comes; once it has seen the answer's end, or the
/// server close the connection, it says so by `onAbandonedEnded`, which frees the slot early.
/// Events about this attempt that arrive later are ignored.
struct Abandon
{
    Core::RequestId request;
    int attempt = 0;
    Core::VmId server;

    bool operator==(const Abandon &) const = default;
};

/// The server has surely ended an abandoned attempt: close its connection if it is still open.
struct CloseAbandoned
{
    Core::RequestId request;
    int attempt = 0;
    Core::VmId server;

    bool operator==(const CloseAbandoned &) const = default;
};

/// Pass the request on to the callers' door of another failure domain, marked as spilled over.
struct SpillOver
{
    Core::RequestId request;
    int attempt = 0;
    Core::FailureDomainId failureDomain;
    Core::Instant attemptDeadline;

    bool operator==(const SpillOver &) const = default;
};

/// Give the caller its final answer now. Comes exactly once per request; after it the request is
/// forgotten.
struct Finish
{
    Core::RequestId request;
    Outcome outcome;

    bool operator==(const Finish &) const = default;
};

/// Open a new connection, ask for the health page, close it, and then report `onProbeAnswered` or
/// `onProbeFailed`: exactly one of them, at the deadline at the latest. A probe takes no slot.
struct ProbeServer
{
    Core::VmId server;
    Core::Instant deadline;

    bool operator==(const ProbeServer &) const = default;
};

/// Open connections have gone silent while new ones work: close the idle ones that were opened
/// before the instant, and close the busy ones after their answer instead of reusing them.
struct DoubtConnections
{
    Core::VmId server;
    Core::Instant openedBefore;

    bool operator==(const DoubtConnections &) const = default;
};

/// Close this many idle connections, as our share of the server's connections was lowered.
struct CloseIdleConnections
{
    Core::VmId server;
    int count = 0;

    bool operator==(const CloseIdleConnections &) const = default;
};

using RouteAction = std::variant<Send, Abandon, CloseAbandoned, SpillOver, Finish, ProbeServer,
                                 DoubtConnections, CloseIdleConnections>;
using RouteActions = std::vector<RouteAction>;

} // namespace Routing
