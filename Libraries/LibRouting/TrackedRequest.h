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
        /// Sent to a backend server of this failure domain.
        Sent,
        /// Sent to an entry VM of another failure domain.
        SpilledOver,
    };

    RequestInfo info;
    Stage stage = Stage::Queued;
    /// Number of the last attempt, counted from 1.
    int attempt = 0;
    /// Number of attempts that were sent and may have run.
    int possibleRuns = 0;

    // The attempt in progress.
    Core::VmId server;
    Core::FailureDomainId failureDomain;
    Core::Instant sentAt;
    bool hasFirstByte = false;
    bool isSilenceHandled = false;

    std::vector<Core::VmId> triedServers;
    std::optional<TimerQueue::Handle> timer;
};

} // namespace Routing
