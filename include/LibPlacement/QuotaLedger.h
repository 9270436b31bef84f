#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>
#include <LibRules/RuleSet.h>

#include <map>
#include <unordered_map>

namespace Placement {

/// Counts what each team uses of this failure domain against its part of the team's quota. A team
/// above its part borrows; a team without a rule has no quota and always borrows.
class QuotaLedger
{
public:
    /// The quotas are split evenly between \p failureDomains.
    void setRules(const Rules::RuleSet &rules, int failureDomains);
    /// What the workers of the failure domain offer together.
    void setCapacity(const Core::Resources &capacity) { m_capacity = capacity; }

    void add(const Core::TeamId &team, Rules::TaskKind kind, const Core::Resources &size);
    void remove(const Core::TeamId &team, Rules::TaskKind kind, const Core::Resources &size);

    Core::Resources used(const Core::TeamId &team) const;
    Core::Resources quota(const Core::TeamId &team) const;
    /// True if the team would use more than its quota with \p size added. Latency-critical work has
    /// the quota before the team's own batch work, which isn't counted against it.
    bool wouldBorrow(const Core::TeamId &team, Rules::TaskKind kind,
                     const Core::Resources &size) const;
    /// By how much each borrowing team exceeds its quota; zero in the other dimensions.
    std::map<Core::TeamId, Core::Resources> usedAboveQuota() const;
    /// The largest part that the team uses of any dimension, divided by its weight.
    double weightedShare(const Core::TeamId &team) const;

private:
    struct TeamState
    {
        Core::Resources quota;
        Core::Resources used;
        Core::Resources usedByLatencyCritical;
        int weight = 1;
    };

    Core::Resources m_capacity;
    std::unordered_map<Core::TeamId, TeamState> m_teams;
};

} // namespace Placement
