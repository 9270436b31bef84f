#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibJob/JobRecord.h>
#include <LibJob/SchedulerSettings.h>

#include <map>
#include <set>
#include <vector>

namespace Jobs {

/// When the last lease of a former owner on a worker ends at the latest, by worker.
using LeaseEnds = std::map<Core::VmId, Core::Instant>;

/// The suspensions of leases that a node has read.
class RecordedSuspensions
{
public:
    /// \p readAt is when the record was read, on the suspend-aware clock.
    void apply(const LeaseSuspension &record, Core::Instant readAt);
    void clear() { m_entries.clear(); }

    /// The ends of the leases on the workers that the owner of \p term has suspended. Its
    /// suspensions hold only while no other owner follows it.
    LeaseEnds leaseEnds(std::int64_t term, const SchedulerSettings &settings) const;
    /// All workers with a record, whichever owner wrote it.
    std::set<Core::VmId> workers() const;

private:
    struct Entry
    {
        LeaseSuspension record;
        Core::Instant readAt = {};
    };
    std::map<Core::VmId, Entry> m_entries;
};

/// The owner's suspensions: it grants a worker that has stopped answering neither leases nor
/// starts, and writes that down with the end of those that it has granted. If the owner is lost,
/// the next one waits for this worker only until then.
class LeaseSuspensions
{
public:
    /// \p recorded are the workers with a record of a former owner.
    explicit LeaseSuspensions(const std::set<Core::VmId> &recorded);

    void suspend(const Core::VmId &worker);
    /// The worker answers, or nothing of it is of interest any more. It stays suspended until that
    /// is durable.
    void lift(const Core::VmId &worker);
    bool isSuspended(const Core::VmId &worker) const
    {
        return m_wanted.contains(worker) || m_recorded.contains(worker);
    }

    bool needsCommit() const { return !m_changed.empty(); }
    /// Returns the workers whose suspensions have changed since the last commit, for the next one.
    std::set<Core::VmId> takeChanges();
    bool isWanted(const Core::VmId &worker) const { return m_wanted.contains(worker); }
    /// The last changes are durable. Returns the workers that aren't suspended any more.
    std::vector<Core::VmId> onCommitted();

private:
    std::set<Core::VmId> m_wanted;
    /// Those that a record may suspend: it may be durable, and its lifting isn't yet.
    std::set<Core::VmId> m_recorded;
    std::set<Core::VmId> m_changed;
    /// Those whose lifting the commit in progress records.
    std::set<Core::VmId> m_lifting;
};

} // namespace Jobs
