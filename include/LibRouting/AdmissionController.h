#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibRouting/FairQueue.h>
#include <LibRouting/Random.h>
#include <LibRouting/RouterSettings.h>

#include <optional>
#include <unordered_map>

namespace Routing {

/// Predicts how long a request would wait, and determines Retry-After for refused callers. The
/// drain rate of the queue follows from Little's law: usable slots divided by the observed service
/// time.
class AdmissionController
{
public:
    AdmissionController(const RouterSettings &settings, std::uint64_t seed);

    void onServiceTime(const Core::TeamId &team, Core::Duration serviceTime);
    /// Returns the expected service time of a team's requests.
    Core::Duration serviceTimeOf(const Core::TeamId &team) const;
    Core::Duration meanServiceTime() const { return m_mean; }

    /// Returns how long a new request of the team would wait in the team's queue if all of the
    /// \p slots usable slots are in use; nothing if there are no slots.
    std::optional<Core::Duration> queueWait(const FairQueue &queue, const Core::TeamId &team,
                                            int slots) const;

    /// Returns when a refused caller should retry. The callers of a team are spread over the time
    /// in which its queue serves as many requests.
    Core::Instant retryAfter(const FairQueue &queue, const Core::TeamId &team, int slots,
                             Core::Instant now);

private:
    static constexpr std::size_t maximumTeams = 4096;

    RouterSettings m_settings;
    Random m_random;
    Core::Duration m_mean;
    bool m_hasSamples = false;
    std::unordered_map<Core::TeamId, Core::Duration> m_serviceTimes;
    std::unordered_map<Core::TeamId, Core::Instant> m_nextReturn;
};

} // namespace Routing
