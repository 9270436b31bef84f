#include <LibJob/LeaseSuspensions.h>

#include <utility>

namespace Jobs {

void RecordedSuspensions::apply(const LeaseSuspension &record, Core::Instant readAt)
{
    if (record.isLifted)
        m_entries.erase(record.worker);
    else
        m_entries.insert_or_assign(record.worker, Entry { record, readAt });
}

LeaseEnds RecordedSuspensions::leaseEnds(std::int64_t term, const SchedulerSettings &settings) const
{
    LeaseEnds ends;
    for (const auto &[worker, entry] : m_entries) {
        if (entry.record.term != term)
            continue;
        const std::chrono::milliseconds remaining(entry.record.remainingMs);
        ends.emplace(worker, entry.readAt + settings.longestOnOwnersClock(remaining));
    }
    return ends;
}

std::set<Core::VmId> RecordedSuspensions::workers() const
{
    std::set<Core::VmId> workers;
    for (const auto &[worker, entry] : m_entries)
        workers.insert(worker);
    return workers;
}

LeaseSuspensions::LeaseSuspensions(const std::set<Core::VmId> &recorded)
    : m_wanted(recorded)
    , m_recorded(recorded)
    , m_changed(recorded)
{
}

void LeaseSuspensions::suspend(const Core::VmId &worker)
{
    if (m_wanted.insert(worker).second)
        m_changed.insert(worker);
}

void LeaseSuspensions::lift(const Core::VmId &worker)
{
    if (m_wanted.erase(worker) == 0)
        return;
    if (m_recorded.contains(worker))
        m_changed.insert(worker);
    else
        m_changed.erase(worker);
}

std::set<Core::VmId> LeaseSuspensions::takeChanges()
{
    m_lifting.clear();
    for (const Core::VmId &worker : m_changed) {
        if (m_wanted.contains(worker))
            m_recorded.insert(worker);
        else
            m_lifting.insert(worker);
    }
    return std::exchange(m_changed, {});
}

std::vector<Core::VmId> LeaseSuspensions::onCommitted()
{
    std::vector<Core::VmId> lifted;
    for (const Core::VmId &worker : std::exchange(m_lifting, {})) {
        m_recorded.erase(worker);
        if (!m_wanted.contains(worker))
            lifted.push_back(worker);
    }
    return lifted;
}

} // namespace Jobs
