#include "WorkerBook.h"

namespace Task {

void WorkerBook::setListed(const std::vector<Platform::VmEntry> &workers, Core::Instant now)
{
    for (auto &[worker, line] : m_lines)
        line.isListed = false;
    for (const Platform::VmEntry &entry : workers) {
        WorkerLine &added = line(entry.id, now);
        added.entry = entry;
        added.isListed = true;
    }
    std::vector<Core::VmId> known;
    for (const auto &[worker, line] : m_lines)
        known.push_back(worker);
    for (const Core::VmId &worker : known)
        removeUnneeded(worker);
}

WorkerLine *WorkerBook::find(const Core::VmId &worker)
{
    const auto found = m_lines.find(worker);
    return found == m_lines.end() ? nullptr : &found->second;
}

const WorkerLine *WorkerBook::find(const Core::VmId &worker) const
{
    const auto found = m_lines.find(worker);
    return found == m_lines.end() ? nullptr : &found->second;
}

WorkerLine &WorkerBook::line(const Core::VmId &worker, Core::Instant now)
{
    const auto [position, isNew] = m_lines.try_emplace(worker);
    WorkerLine &line = position->second;
    if (isNew) {
        line.entry.id = worker;
        line.lastHeard = now;
        setNextRenewal(line, now);
    }
    return line;
}

std::vector<Core::VmId> WorkerBook::due(Core::Instant now) const
{
    std::vector<Core::VmId> workers;
    for (const auto &[when, worker] : m_due) {
        if (when > now)
            break;
        workers.push_back(worker);
    }
    return workers;
}

void WorkerBook::setNextRenewal(WorkerLine &line, Core::Instant when)
{
    m_due.erase({ line.nextRenewal, line.entry.id });
    line.nextRenewal = when;
    m_due.emplace(when, line.entry.id);
}

void WorkerBook::suspendRenewal(WorkerLine &line)
{
    m_due.erase({ line.nextRenewal, line.entry.id });
}

std::optional<Core::Instant> WorkerBook::nextRenewal() const
{
    if (m_due.empty())
        return std::nullopt;
    return m_due.begin()->first;
}

void WorkerBook::removeUnneeded(const Core::VmId &worker)
{
    const auto found = m_lines.find(worker);
    if (found == m_lines.end() || found->second.isNeeded())
        return;
    m_due.erase({ found->second.nextRenewal, worker });
    m_lines.erase(found);
}

} // namespace Task
