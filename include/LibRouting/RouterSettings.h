#pragma once

#include <LibCore/Time.h>

#include <cstddef>

namespace Routing {

/// How a backend server is chosen among those with a free slot.
enum class SelectionPolicy {
    RoundRobin,
    LeastInWork,
    PowerOfTwo,
    /// Fewest expected microseconds of work: requests in work times observed service time.
    LatencyAware,
};

/// The settings of one entry VM's request path. The defaults suit both users' services.
struct RouterSettings
{
    SelectionPolicy selection = SelectionPolicy::LatencyAware;
    /// False puts the requests of all teams into one queue in order of arrival.
    bool isFair = true;
    /// False turns early refusal off; a request then waits until its deadline.
    bool hasEarlyRefusal = true;
    /// False turns the detection of silent connections and slow servers off.
    bool hasFaultDetection = true;

    /// A request that would wait longer in our queue is refused on arrival.
    Core::Duration maximumQueueWait = std::chrono::milliseconds(100);
    /// A bound on memory; the busiest team's newest request makes room.
    std::size_t maximumQueued = 20'000;
    /// Assumed until service times have been observed.
    Core::Duration initialServiceTime = std::chrono::milliseconds(50);

    int maximumAttempts = 3;
    /// Retries per first attempt in the long run, and how many may come in one burst.
    double retryRatio = 0.1;
    double retryBurst = 50;

    /// No first byte after this multiple of the 99th percentile makes a connection suspect.
    double silenceFactor = 2;
    Core::Duration shortestSilence = std::chrono::milliseconds(20);
    Core::Duration longestSilence = std::chrono::seconds(5);
    Core::Duration probeTimeout = std::chrono::milliseconds(500);

    /// A server this many times slower than the median gets only a trial request now and then.
    double slowServerFactor = 3;
    Core::Duration slowServerTrialInterval = std::chrono::seconds(1);

    /// A server that fails this part of its last answers gets none until a trial succeeds.
    double breakerFailureRatio = 0.5;
    int breakerWindow = 20;
    Core::Duration breakerShortestPause = std::chrono::seconds(1);
    Core::Duration breakerLongestPause = std::chrono::seconds(30);

    /// A backend server that is alive works on no request longer than this. Until then an
    /// abandoned attempt keeps its slot and its connection.
    Core::Duration longestServiceTime = std::chrono::seconds(10);
    /// How long a backend server keeps a connection on which nothing comes.
    Core::Duration serverIdleTimeout = std::chrono::seconds(60);

    Core::Duration longestRetryAfter = std::chrono::seconds(30);
    /// A request is passed on to another failure domain if our queue costs so much more time.
    Core::Duration spillOverMargin = std::chrono::milliseconds(5);

    bool operator==(const RouterSettings &) const = default;
};

} // namespace Routing
