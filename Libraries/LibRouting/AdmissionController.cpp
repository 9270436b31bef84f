#include <LibRouting/AdmissionController.h>

#include "MovingAverage.h"

#include <algorithm>

namespace Routing {

namespace {

constexpr int teamDivisor = 10;
constexpr int meanDivisor = 50;
/// Interval between the return times of refused callers while no slots are known.
constexpr Core::Duration spacingWithoutSlots = std::chrono::milliseconds(5);
constexpr Core::Duration shortestRetryAfter = std::chrono::seconds(1);

Core::Duration scaled(Core::Duration duration, double factor)
{
    return Core::Duration(
        static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor));
}

} // namespace

AdmissionController::AdmissionController(const RouterSettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
    , m_mean(settings.initialServiceTime)
{
}

void AdmissionController::onServiceTime(const Core::TeamId &team, Core::Duration serviceTime)
{
    m_mean = m_hasSamples ? movedAverage(m_mean, serviceTime, meanDivisor) : serviceTime;
    m_hasSamples = true;
    const auto known = m_serviceTimes.find(team);
    if (known != m_serviceTimes.end())
        known->second = movedAverage(known->second, serviceTime, teamDivisor);
    else if (m_serviceTimes.size() < maximumTeams)
        m_serviceTimes.emplace(team, m_mean);
}

Core::Duration AdmissionController::serviceTimeOf(const Core::TeamId &team) const
{
    const auto known = m_serviceTimes.find(team);
    return known == m_serviceTimes.end() ? m_mean : known->second;
}

std::optional<Core::Duration>
AdmissionController::queueWait(const FairQueue &queue, const Core::TeamId &team, int slots) const
{
    if (slots <= 0)
        return std::nullopt;
    return scaled(queue.costOf(team), 1 / (queue.shareOf(team) * slots));
}

Core::Instant AdmissionController::retryAfter(const FairQueue &queue, const Core::TeamId &team,
                                              int slots, Core::Instant now)
{
    const Core::Duration spacing = slots > 0
        ? scaled(serviceTimeOf(team), 1 / (queue.shareOf(team) * slots))
        : spacingWithoutSlots;
    const Core::Instant soonest
        = now + queueWait(queue, team, slots).value_or(Core::Duration(0)) + shortestRetryAfter;
    const Core::Instant latest = now + m_settings.longestRetryAfter;
    if (m_nextReturn.size() >= maximumTeams && !m_nextReturn.contains(team))
        m_nextReturn.clear();
    Core::Instant &next = m_nextReturn[team];
    next = std::max(soonest, next + spacing);
    if (next <= latest)
        return next;
    // Beyond the longest wait the order of the callers can't be kept, so their return times are
    // random.
    next = latest;
    const auto half = static_cast<std::uint64_t>(m_settings.longestRetryAfter.count() / 2);
    return latest - Core::Duration(static_cast<std::int64_t>(m_random.below(half + 1)));
}

} // namespace Routing
