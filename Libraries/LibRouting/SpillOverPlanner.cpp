#include "SpillOverPlanner.h"

#include <algorithm>

namespace Routing {

namespace {

constexpr Core::Duration pauseAfterRefusal = std::chrono::milliseconds(20);
constexpr Core::Duration pauseAfterFailure = std::chrono::seconds(1);

} // namespace

void SpillOverPlanner::setOptions(const std::vector<SpillOverOption> &options)
{
    m_options = options;
}

std::optional<SpillOverOption> SpillOverPlanner::choose(Core::Duration limit,
                                                        Core::Instant now) const
{
    std::optional<SpillOverOption> best;
    int leastInFlight = 0;
    for (const SpillOverOption &option : m_options) {
        const auto known = m_doors.find(option.failureDomain);
        const Door door = known == m_doors.end() ? Door() : known->second;
        if (!option.isAccepting || option.extraLatency >= limit || door.pausedUntil > now)
            continue;
        if (door.inFlight >= static_cast<int>(door.window))
            continue;
        const bool isBetter = !best || option.extraLatency < best->extraLatency
            || (option.extraLatency == best->extraLatency && door.inFlight < leastInFlight);
        if (!isBetter)
            continue;
        best = option;
        leastInFlight = door.inFlight;
    }
    return best;
}

void SpillOverPlanner::onSent(const Core::FailureDomainId &failureDomain)
{
    ++m_doors[failureDomain].inFlight;
}

void SpillOverPlanner::onAnswered(const Core::FailureDomainId &failureDomain)
{
    Door &door = m_doors[failureDomain];
    --door.inFlight;
    // The window doubles with each round of answers while it is the limit: the other failure domain
    // isn't full.
    door.window = std::min(door.window + 1, largestWindow);
}

void SpillOverPlanner::onRefused(const Core::FailureDomainId &failureDomain, Core::Instant now)
{
    Door &door = m_doors[failureDomain];
    --door.inFlight;
    pause(door, now + pauseAfterRefusal);
}

void SpillOverPlanner::onFailed(const Core::FailureDomainId &failureDomain, Core::Instant now)
{
    Door &door = m_doors[failureDomain];
    --door.inFlight;
    pause(door, now + pauseAfterFailure);
}

void SpillOverPlanner::pause(Door &door, Core::Instant until)
{
    // Several refusals that arrive together count once.
    if (door.pausedUntil < until - pauseAfterRefusal)
        door.window = std::max(door.window / 2, smallestWindow);
    door.pausedUntil = std::max(door.pausedUntil, until);
}

} // namespace Routing
