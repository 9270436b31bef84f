#include "HolderSession.h"

#include <algorithm>
#include <utility>

/// Transfers tasks to other failure domains.

namespace Task {

namespace {

/// The delay before target domains are looked for again when no other failure domain could take any
/// of the tasks.
constexpr Core::Duration moveRetryInterval = std::chrono::milliseconds(500);

} // namespace

bool HolderSession::mustLeaveDomain(const LiveTask &task) const
{
    const Rules::RuleSet &rules = m_inputs.rules;
    return rules.isOut(m_settings.domain)
        || !rules.mayRunIn(task.spec.taskClass, m_settings.domain);
}

bool HolderSession::isLatencyCritical(const TaskSpec &spec) const
{
    const auto rule = m_inputs.rules.classes.find(spec.taskClass);
    return rule != m_inputs.rules.classes.end()
        && rule->second.kind == Rules::TaskKind::LatencyCritical;
}

void HolderSession::moveTasksOut(Core::Instant now)
{
    const double elapsed = std::chrono::duration<double>(now - m_tokensUpdatedAt).count();
    m_tokensUpdatedAt = now;
    const double burst = std::max(1.0, m_settings.transfersPerSecond);
    m_transferTokens = std::min(burst, m_transferTokens + elapsed * m_settings.transfersPerSecond);

    if (now < m_nextMoveAt)
        return;
    bool hasMoved = m_tasksToMove.empty();
    // Each task is considered once; one that no other failure domain can take moves to the end.
    for (std::size_t remaining = m_tasksToMove.size(); remaining > 0 && m_transferTokens >= 1;
         --remaining) {
        if (m_transfers.size() >= m_settings.maximumTransfers)
            return;
        const Core::TaskId id = m_tasksToMove.front();
        m_tasksToMove.pop_front();
        const auto found = m_tasks.find(id);
        if (found == m_tasks.end() || !mustLeaveDomain(found->second))
            continue;
        LiveTask &task = found->second;
        if (task.stage == TaskStage::Ending || task.isCancelRequested
            || !task.targetDomain.isEmpty())
            continue;
        // `startRecorded` abandons the attempt, after which the waiting task is added again.
        if (task.stage == TaskStage::Planning || task.stage == TaskStage::Recorded)
            continue;
        const std::optional<Core::FailureDomainId> domain = chooseTargetDomain(task.spec);
        if (!domain) {
            m_tasksToMove.push_back(id);
            continue;
        }
        m_transferTokens -= 1;
        hasMoved = true;
        if (task.stage == TaskStage::Waiting) {
            transferOut(task, *domain);
            continue;
        }
        task.targetDomain = *domain;
        requestStop(task, Platform::StopMode::Checkpoint, "moves to " + domain->text(), now);
    }
    if (!hasMoved)
        m_nextMoveAt = now + moveRetryInterval;
}

void HolderSession::onPeersChanged()
{
    m_peers = m_inputs.peers;
    m_nextMoveAt = {};
}

std::optional<Core::FailureDomainId> HolderSession::chooseTargetDomain(const TaskSpec &spec)
{
    PeerDomain *best = nullptr;
    for (PeerDomain &peer : m_peers) {
        const Rules::RuleSet &rules = m_inputs.rules;
        if (!peer.isReachable || peer.domain == m_settings.domain || rules.isOut(peer.domain)
            || !rules.mayRunIn(spec.taskClass, peer.domain))
            continue;
        // Latency-critical tasks don't wait for room, because they may evict batch tasks there.
        if (!spec.declared.fitsIn(peer.free) && !isLatencyCritical(spec))
            continue;
        if (!best || peer.free.milliCores > best->free.milliCores)
            best = &peer;
    }
    if (!best)
        return std::nullopt;
    best->free = best->free - spec.declared;
    return best->domain;
}

void HolderSession::transferOut(LiveTask &task, const Core::FailureDomainId &domain)
{
    removeFromScheduler(task);
    appendFinalRecord(task, TransferOut { task.spec.id, domain, task.transferNumber + 1 });
}

void HolderSession::appendTransfers(std::vector<PlacerAction> &actions, Core::Instant now)
{
    for (const Core::TaskId &task : m_transfers.takeDue(now)) {
        const TaskEntry *entry = m_table.find(task);
        if (!entry || !entry->isTransferPending)
            continue;
        actions.emplace_back(AppendTransfer { entry->toDomain, task, entry->transferNumber,
                                              TransferQueue::makeSubmitted(*entry) });
    }
}

void HolderSession::onTransferOutcome(const Core::TaskId &task, std::uint32_t transferNumber,
                                      AppendOutcome outcome, Core::Instant now)
{
    const TaskEntry *entry = m_table.find(task);
    if (!entry || !entry->isTransferPending || entry->transferNumber != transferNumber)
        return;
    if (m_transfers.onOutcome(task, outcome, now))
        push(TransferDone { task, transferNumber });
}

} // namespace Task
