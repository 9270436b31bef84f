#pragma once

#include <LibPlacement/Claim.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Placement {

/// The claims, by task and by worker.
class ClaimTable
{
public:
    void add(const Claim &claim);
    std::optional<Claim> remove(const Core::TaskId &task);

    const Claim *find(const Core::TaskId &task) const;
    /// In the order in which they were added.
    std::vector<Core::TaskId> onWorker(WorkerSlot worker) const;
    Core::Resources claimedOn(WorkerSlot worker) const;
    std::size_t drains() const { return m_drains; }
    bool hasDrainOf(const Core::TeamId &team) const { return m_drainingTeams.contains(team); }
    std::vector<Core::TaskId> tasksPast(Core::Instant now) const;
    std::size_t size() const { return m_claims.size(); }
    const std::map<Core::TaskId, Claim> &all() const { return m_claims; }

private:
    struct WorkerClaims
    {
        std::vector<Core::TaskId> tasks;
        Core::Resources total;
    };

    std::map<Core::TaskId, Claim> m_claims;
    std::map<WorkerSlot, WorkerClaims> m_byWorker;
    std::multiset<Core::TeamId> m_drainingTeams;
    std::size_t m_drains = 0;
};

} // namespace Placement
