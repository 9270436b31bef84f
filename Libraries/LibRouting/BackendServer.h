#pragma once

#include <LibRouting/BackendServerInfo.h>
#include <LibRouting/CircuitBreaker.h>
#include <LibRouting/RouterSettings.h>
#include <LibRouting/SlotLimiter.h>

#include <optional>

namespace Routing {

/// The state of one backend server as one entry VM knows it.
struct BackendServer
{
    BackendServer(Core::VmId serverId, const RouterSettings &settings)
        : id(std::move(serverId))
        , limiter(settings.longestServiceTime, settings.serverIdleTimeout)
        , breaker(settings)
    {
    }

    Core::VmId id;
    /// False if the server is shutting down or no longer listed.
    bool takesNew = false;
    SlotLimiter limiter;
    CircuitBreaker breaker;

    /// Moving average of the service times of whole, successful answers.
    Core::Duration serviceTime {};
    int samples = 0;
    /// The server is much slower than the others and gets only trial requests.
    bool isSlow = false;
    Core::Instant lastTrialAt;

    /// A connection has gone silent; nothing is sent to the server until a probe has ended.
    bool isSuspect = false;
    /// If the next probe is answered, the older connections are broken and must be replaced.
    bool isDoubtPending = false;
    std::optional<Core::Instant> probeSentAt;
    Core::Instant lastProbeAt;
    Core::Instant lastSentAt;
    int notSentInARow = 0;
};

} // namespace Routing
