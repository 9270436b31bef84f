#include "Tenure.h"

#include <algorithm>
#include <utility>

/// Moving tasks to other failure domains.

namespace Task {

namespace {

/// The time after which misplaced tasks that nobody could take are looked at again.
constexpr Core::Duration moveRetryInterval = std::chrono::milliseconds(500);

} // namespace

bool Tenure::isMisplaced(const TenureTask &task) const
{
    const Rules::RuleSet &rules = m_inputs.rules;
    return rules.isOut(m_settings.domain)
        || !rules.mayRunIn(task.spec.taskClass, m_settings.domain);
}

bool Tenure::isLatencyCritical(const TaskSpec &spec) const
{
    const auto rule = m_inputs.rules.classes.find(spec.taskClass);
    return rule != m_inputs.rules.classes.end()
        && rule->second.kind == Rules::TaskKind::LatencyCritical;
}

void Tenure::moveMisplaced(Core::Instant now)
{
    const double elapsed = std::chrono::duration<double>(now - m_tokensAt).count();
    m_tokensAt = now;
    const double burst = std::max(1.0, m_settings.transfersPerSecond);
    m_transferTokens = std::min(burst, m_transferTokens + elapsed * m_settings.transfersPerSecond);

    if (now < m_moveAgainAt)
        return;
    bool hasMoved = m_misplaced.empty();
    // Each task is looked at once; one that no other failure domain can take goes to the end.
    for (std::size_t rest = m_misplaced.size(); rest > 0 && m_transferTokens >= 1; --rest) {
        if (m_transfers.size() >= m_settings.maximumTransfers)
            return;
        const Core::TaskId id = m_misplaced.front();
        m_misplaced.pop_front();
        const auto found = m_tasks.find(id);
        if (found == m_tasks.end() || !isMisplaced(found->second))
            continue;
        TenureTask &task = found->second;
        if (task.stage == Stage::Closing || task.isCancelRequested || !task.movesTo.isEmpty())
            continue;
        // Its start is given up when it comes up, and it is then misplaced waiting work.
        if (task.stage == Stage::Planning || task.stage == Stage::Recorded)
            continue;
        const std::optional<Core::FailureDomainId> domain = chooseDomain(task.spec);
        if (!domain) {
            m_misplaced.push_back(id);
            continue;
        }
        m_transferTokens -= 1;
        hasMoved = true;
        if (task.stage == Stage::Waiting) {
            transferOut(task, *domain);
            continue;
        }
        task.movesTo = *domain;
        orderStop(task, Platform::StopMode::Checkpoint, "moves to " + domain->text(), now);
    }
    if (!hasMoved)
        m_moveAgainAt = now + moveRetryInterval;
}

void Tenure::onPeersChanged()
{
    m_peers = m_inputs.peers;
    m_moveAgainAt = {};
}

std::optional<Core::FailureDomainId> Tenure::chooseDomain(const TaskSpec &spec)
{
    PeerDomain *best = nullptr;
    for (PeerDomain &peer : m_peers) {
        const Rules::RuleSet &rules = m_inputs.rules;
        if (!peer.isReachable || peer.domain == m_settings.domain || rules.isOut(peer.domain)
            || !rules.mayRunIn(spec.taskClass, peer.domain))
            continue;
        // Urgent work may displace batch work there, so it doesn't wait for room.
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

void Tenure::transferOut(TenureTask &task, const Core::FailureDomainId &domain)
{
    removeFromScheduler(task);
    close(task, TransferOut { task.spec.id, domain, task.transferNumber + 1 });
}

void Tenure::appendTransfers(std::vector<PlacerAction> &actions, Core::Instant now)
{
    for (const Core::TaskId &task : m_transfers.takeDue(now)) {
        const TaskEntry *entry = m_table.find(task);
        if (!entry || !entry->isTransferPending)
            continue;
        actions.emplace_back(AppendTransfer { entry->toDomain, task, entry->transferNumber,
                                              TransferDesk::submission(*entry) });
    }
}

void Tenure::onTransferOutcome(const Core::TaskId &task, std::uint32_t transferNumber,
                               AppendOutcome outcome, Core::Instant now)
{
    const TaskEntry *entry = m_table.find(task);
    if (!entry || !entry->isTransferPending || entry->transferNumber != transferNumber)
        return;
    if (m_transfers.onOutcome(task, outcome, now))
        push(TransferDone { task, transferNumber });
}

} // namespace Task
