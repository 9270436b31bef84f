#pragma once

#include <LibCore/Time.h>

#include <cstddef>

namespace Routing {

/// How a backend server is chosen among those with a free slot.
enum class SelectionPolicy {
    RoundRobin,
    LeastInWork,
    PowerOfTwo,
    /// Least expected work: requests in progress multiplied by the observed service time.
    LatencyAware,
};

/// The settings of one entry VM's request path. The defaults suit both users' services.
struct RouterSettings
{
    SelectionPolicy selection = SelectionPolicy::LatencyAware;
    /// False puts the requests of all teams into one queue in order of arrival.
    bool isFair = true;
    /// False disables early refusal; a request then waits until its deadline.
    bool hasEarlyRefusal = true;
    /// False disables the detection of silent connections and slow servers.
    bool hasFaultDetection = true;

    /// A request that would wait longer in the queue is refused on arrival.
    Core::Duration maximumQueueWait = std::chrono::milliseconds(100);
    /// Maximum length of the queue. When it is reached, the newest request of the team with the
    /// most queued work is refused.
    std::size_t maximumQueued = 20'000;
    /// The service time that is assumed until some have been observed.
    Core::Duration initialServiceTime = std::chrono::milliseconds(50);

    int maximumAttempts = 3;
    /// Retries per first attempt in the long run, and the maximum of a burst.
    double retryRatio = 0.1;
    double retryBurst = 50;

    /// A connection is suspect if the first byte takes longer than this multiple of the 99th
    /// percentile.
    double silenceFactor = 2;
    Core::Duration shortestSilence = std::chrono::milliseconds(20);
    Core::Duration longestSilence = std::chrono::seconds(5);
    Core::Duration probeTimeout = std::chrono::milliseconds(500);

    /// A server that is this many times slower than the median gets only occasional trial requests.
    double slowServerFactor = 3;
    Core::Duration slowServerTrialInterval = std::chrono::seconds(1);

    /// A server that fails this fraction of its last requests gets none until a trial succeeds.
    double breakerFailureRatio = 0.5;
    int breakerWindow = 20;
    Core::Duration breakerShortestPause = std::chrono::seconds(1);
    Core::Duration breakerLongestPause = std::chrono::seconds(30);

    /// Maximum time for which a backend server that is alive works on a request. An abandoned
    /// attempt keeps its slot and its connection for this long.
    Core::Duration longestServiceTime = std::chrono::seconds(10);
    /// How long a backend server keeps an idle connection.
    Core::Duration serverIdleTimeout = std::chrono::seconds(60);

    Core::Duration longestRetryAfter = std::chrono::seconds(30);
    /// A request is spilled over if waiting in this queue would take this much longer.
    Core::Duration spillOverMargin = std::chrono::milliseconds(5);

    bool operator==(const RouterSettings &) const = default;
};

} // namespace Routing
