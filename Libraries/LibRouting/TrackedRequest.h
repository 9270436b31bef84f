#pragma once

#include "TimerQueue.h"

#include <LibRouting/RequestInfo.h>

#include <optional>
#include <vector>

namespace Routing {

/// A request that has no final answer yet.
struct TrackedRequest
{
    enum class Stage {
        Queued,
        /// At a backend server of our failure domain.
        Sent,
        /// At another failure domain's door.
        SpilledOver,
    };

    RequestInfo info;
    Stage stage = Stage::Queued;
    /// The number of the last attempt; the first one is 1.
    int attempt = 0;
    /// Attempts that were handed over and not proven to have run nowhere.
    int possibleRuns = 0;

    /// About the attempt in progress.
    Core::VmId server;
    Core::FailureDomainId failureDomain;
    Core::Instant sentAt;
    bool hasFirstByte = false;
    bool isSilenceHandled = false;

    std::vector<Core::VmId> triedServers;
    std::optional<TimerQueue::Handle> timer;
};

} // namespace Routing
