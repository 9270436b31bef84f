#pragma once

#include <LibRouting/SpillOverOption.h>

#include <map>
#include <optional>
#include <vector>

namespace Routing {

/// Chooses the failure domain that takes a request of ours. Each option has a window of requests
/// in flight that grows with answers and halves with refusals, so that a full domain isn't flooded.
class SpillOverPlanner
{
public:
    void setOptions(const std::vector<SpillOverOption> &options);

    /// The option with the least extra latency below \p limit, if any.
    std::optional<SpillOverOption> choose(Core::Duration limit, Core::Instant now) const;

    void onSent(const Core::FailureDomainId &failureDomain);
    void onAnswered(const Core::FailureDomainId &failureDomain);
    void onRefused(const Core::FailureDomainId &failureDomain, Core::Instant now);
    /// It can't be reached, or doesn't answer.
    void onFailed(const Core::FailureDomainId &failureDomain, Core::Instant now);

private:
    static constexpr double firstWindow = 32;
    static constexpr double smallestWindow = 2;
    static constexpr double largestWindow = 4096;

    struct Door
    {
        double window = firstWindow;
        int inFlight = 0;
        Core::Instant pausedUntil;
    };

    void pause(Door &door, Core::Instant until);

    std::vector<SpillOverOption> m_options;
    std::map<Core::FailureDomainId, Door> m_doors;
};

} // namespace Routing
