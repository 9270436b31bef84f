#include "WorkerRegistry.h"

namespace Task {

void WorkerRegistry::setListed(const std::vector<Platform::VmEntry> &workers, Core::Instant now)
{
    for (auto &[worker, status] : m_statuses)
        status.isListed = false;
    for (const Platform::VmEntry &entry : workers) {
        WorkerStatus &added = findOrAdd(entry.id, now);
        added.entry = entry;
        added.isListed = true;
    }
    std::vector<Core::VmId> known;
    for (const auto &[worker, status] : m_statuses)
        known.push_back(worker);
    for (const Core::VmId &worker : known)
        removeUnneeded(worker);
}

WorkerStatus *WorkerRegistry::find(const Core::VmId &worker)
{
    const auto found = m_statuses.find(worker);
    return found == m_statuses.end() ? nullptr : &found->second;
}

const WorkerStatus *WorkerRegistry::find(const Core::VmId &worker) const
{
    const auto found = m_statuses.find(worker);
    return found == m_statuses.end() ? nullptr : &found->second;
}

WorkerStatus &WorkerRegistry::findOrAdd(const Core::VmId &worker, Core::Instant now)
{
    const auto [position, isNew] = m_statuses.try_emplace(worker);
    WorkerStatus &status = position->second;
    if (isNew) {
        status.entry.id = worker;
        status.lastReportAt = now;
        setNextRenewal(status, now);
    }
    return status;
}

std::vector<Core::VmId> WorkerRegistry::due(Core::Instant now) const
{
    std::vector<Core::VmId> workers;
    for (const auto &[when, worker] : m_due) {
        if (when > now)
            break;
        workers.push_back(worker);
    }
    return workers;
}

void WorkerRegistry::setNextRenewal(WorkerStatus &status, Core::Instant when)
{
    m_due.erase({ status.nextRenewal, status.entry.id });
    status.nextRenewal = when;
    m_due.emplace(when, status.entry.id);
}

void WorkerRegistry::suspendRenewal(WorkerStatus &status)
{
    m_due.erase({ status.nextRenewal, status.entry.id });
}

std::optional<Core::Instant> WorkerRegistry::nextRenewal() const
{
    if (m_due.empty())
        return std::nullopt;
    return m_due.begin()->first;
}

void WorkerRegistry::removeUnneeded(const Core::VmId &worker)
{
    const auto found = m_statuses.find(worker);
    if (found == m_statuses.end() || found->second.isNeeded())
        return;
    m_due.erase({ found->second.nextRenewal, worker });
    m_statuses.erase(found);
}

} // namespace Task
