#pragma once

#include <LibRouting/SpillOverOption.h>

#include <map>
#include <optional>
#include <vector>

namespace Routing {

/// Chooses the failure domain for a request that is spilled over. Each option has a window of
/// requests in flight, which grows with answers and is halved by refusals, so that a full failure
/// domain isn't overloaded.
class SpillOverPlanner
{
public:
    void setOptions(const std::vector<SpillOverOption> &options);

    /// Returns the option with the least extra latency if that is below \p limit.
    std::optional<SpillOverOption> choose(Core::Duration limit, Core::Instant now) const;

    void onSent(const Core::FailureDomainId &failureDomain);
    void onAnswered(const Core::FailureDomainId &failureDomain);
    void onRefused(const Core::FailureDomainId &failureDomain, Core::Instant now);
    /// The failure domain can't be reached or doesn't answer.
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
