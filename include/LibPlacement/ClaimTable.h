#pragma once

#include <LibPlacement/Claim.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Placement {

/// The claims, indexed by task and by worker. A task has at most one claim.
class ClaimTable
{
public:
    /// Does nothing if the task already has a claim.
    void add(const Claim &claim);
    /// Returns the removed claim; nothing if the task has none.
    std::optional<Claim> remove(const Core::TaskId &task);

    /// Null if the task has no claim.
    const Claim *find(const Core::TaskId &task) const;
    /// The tasks with a claim on the worker, oldest claim first.
    std::vector<Core::TaskId> onWorker(WorkerSlot worker) const;
    /// The sum of the claims on the worker.
    Core::Resources claimedOn(WorkerSlot worker) const;
    std::size_t drainCount() const { return m_drainCount; }
    /// True if a task of the team has a claim of kind Drain.
    bool hasDrainFor(const Core::TeamId &team) const { return m_teamsWithDrain.contains(team); }
    /// The tasks whose claims have reached their deadline.
    std::vector<Core::TaskId> expiredTasks(Core::Instant now) const;
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
    std::multiset<Core::TeamId> m_teamsWithDrain;
    std::size_t m_drainCount = 0;
};

} // namespace Placement
