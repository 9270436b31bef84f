#pragma once

#include <LibRouting/BackendServerInfo.h>
#include <LibRouting/CircuitBreaker.h>
#include <LibRouting/RouterSettings.h>
#include <LibRouting/SlotLimiter.h>

#include <optional>

namespace Routing {

/// What one entry VM knows of one backend server.
struct BackendServer
{
    BackendServer(Core::VmId serverId, const RouterSettings &settings)
        : id(std::move(serverId))
        , limiter(settings.longestServiceTime, settings.serverIdleTimeout)
        , breaker(settings)
    {
    }

    Core::VmId id;
    /// False if it is leaving or no longer in the list.
    bool takesNew = false;
    SlotLimiter limiter;
    CircuitBreaker breaker;

    /// A moving average of whole, successful answers.
    Core::Duration serviceTime {};
    int samples = 0;
    /// Much slower than the others; it gets only trial requests.
    bool isSlow = false;
    Core::Instant lastTrialAt;

    /// A connection went silent; nothing is sent until a probe has told why.
    bool isSuspect = false;
    /// The next answered probe shows that old connections are to be replaced.
    bool isDoubtPending = false;
    std::optional<Core::Instant> probeSentAt;
    Core::Instant lastProbeAt;
    Core::Instant lastSentAt;
    int notSentInARow = 0;
};

} // namespace Routing
