#include <LibPlacement/ClaimTable.h>

#include <utility>

namespace Placement {

void ClaimTable::add(const Claim &claim)
{
    const Core::TaskId task = claim.task.spec.id;
    if (!m_claims.try_emplace(task, claim).second)
        return;
    WorkerClaims &claims = m_byWorker[claim.worker];
    claims.tasks.push_back(task);
    claims.total = claims.total + claim.task.spec.declared;
    if (claim.kind != ClaimKind::Drain)
        return;
    ++m_drainCount;
    m_teamsWithDrain.insert(claim.task.spec.team);
}

std::optional<Claim> ClaimTable::remove(const Core::TaskId &task)
{
    const auto found = m_claims.find(task);
    if (found == m_claims.end())
        return std::nullopt;
    Claim claim = std::move(found->second);
    m_claims.erase(found);
    const auto worker = m_byWorker.find(claim.worker);
    std::erase(worker->second.tasks, task);
    worker->second.total = worker->second.total - claim.task.spec.declared;
    if (worker->second.tasks.empty())
        m_byWorker.erase(worker);
    if (claim.kind == ClaimKind::Drain) {
        --m_drainCount;
        m_teamsWithDrain.erase(m_teamsWithDrain.find(claim.task.spec.team));
    }
    return claim;
}

const Claim *ClaimTable::find(const Core::TaskId &task) const
{
    const auto found = m_claims.find(task);
    return found == m_claims.end() ? nullptr : &found->second;
}

std::vector<Core::TaskId> ClaimTable::onWorker(WorkerSlot worker) const
{
    const auto found = m_byWorker.find(worker);
    return found == m_byWorker.end() ? std::vector<Core::TaskId> {} : found->second.tasks;
}

Core::Resources ClaimTable::claimedOn(WorkerSlot worker) const
{
    const auto found = m_byWorker.find(worker);
    return found == m_byWorker.end() ? Core::Resources {} : found->second.total;
}

std::vector<Core::TaskId> ClaimTable::expiredTasks(Core::Instant now) const
{
    std::vector<Core::TaskId> tasks;
    for (const auto &[task, claim] : m_claims) {
        if (claim.deadline <= now)
            tasks.push_back(task);
    }
    return tasks;
}

} // namespace Placement
