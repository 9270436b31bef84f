#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibRouting/Outcome.h>

#include <variant>
#include <vector>

namespace Routing {

/// Send the request to a backend server, on an idle connection if there is one, otherwise on a new
/// one. At the deadline the router returns `Abandon`, so the caller needs no timer.
struct Send
{
    Core::RequestId request;
    int attempt = 0;
    Core::VmId server;
    Core::Instant attemptDeadline;

    bool operator==(const Send &) const = default;
};

/// The attempt's answer isn't needed any more, and its connection must not be reused. Either close
/// it at once, or read and drop the answer; at the end of the answer, or when the server closes the
/// connection, call `onAbandonedEnded`, which frees the slot early. Later events about this attempt
/// are ignored.
struct Abandon
{
    Core::RequestId request;
    int attempt = 0;
    Core::VmId server;

    bool operator==(const Abandon &) const = default;
};

/// The server has certainly ended an abandoned attempt: close its connection if it is still open.
struct CloseAbandoned
{
    Core::RequestId request;
    int attempt = 0;
    Core::VmId server;

    bool operator==(const CloseAbandoned &) const = default;
};

/// Send the request to an entry VM of another failure domain, marked as spilled over.
struct SpillOver
{
    Core::RequestId request;
    int attempt = 0;
    Core::FailureDomainId failureDomain;
    Core::Instant attemptDeadline;

    bool operator==(const SpillOver &) const = default;
};

/// Send the final answer to the caller. Returned exactly once for each request, which is deleted
/// afterwards.
struct Finish
{
    Core::RequestId request;
    Outcome outcome;

    bool operator==(const Finish &) const = default;
};

/// Open a new connection, request the health page, close the connection, and call exactly one of
/// `onProbeAnswered` and `onProbeFailed`, at the deadline at the latest. A probe uses no slot.
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

/// Close this many idle connections, since this VM's share of the server's connections was reduced.
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
