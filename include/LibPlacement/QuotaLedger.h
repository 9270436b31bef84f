#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>
#include <LibRules/RuleSet.h>

#include <map>
#include <unordered_map>

namespace Placement {

/// Tracks what each team uses in this failure domain against the failure domain's part of the
/// team's quota. A team above that part borrows; a team without a rule has no quota and always
/// borrows.
class QuotaLedger
{
public:
    /// The quotas are split evenly between \p failureDomains; each part is rounded up.
    void setRules(const Rules::RuleSet &rules, int failureDomains);
    /// Sets the total capacity of the workers of the failure domain.
    void setCapacity(const Core::Resources &capacity) { m_capacity = capacity; }

    void add(const Core::TeamId &team, Rules::TaskKind kind, const Core::Resources &size);
    void remove(const Core::TeamId &team, Rules::TaskKind kind, const Core::Resources &size);

    /// What the team uses in this failure domain; zero for an unknown team.
    Core::Resources used(const Core::TeamId &team) const;
    /// This failure domain's part of the team's quota; zero for a team without a rule.
    Core::Resources quota(const Core::TeamId &team) const;
    /// True if the team would exceed its quota with \p size added. Latency-critical work has
    /// priority on the quota: the team's own batch work isn't counted against it.
    bool wouldBorrow(const Core::TeamId &team, Rules::TaskKind kind,
                     const Core::Resources &size) const;
    /// By how much each borrowing team exceeds its quota; zero in dimensions within the quota.
    std::map<Core::TeamId, Core::Resources> usedAboveQuota() const;
    /// The team's dominant share divided by its weight. The dominant share is the largest fraction
    /// that the team uses of any dimension of the total capacity.
    double weightedDominantShare(const Core::TeamId &team) const;

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
