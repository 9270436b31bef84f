#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Time.h>
#include <LibPlatform/VmEntry.h>
#include <LibTask/TaskSpec.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace Task {

/// A lease holder's state of one worker.
struct WorkerStatus
{
    Platform::VmEntry entry;
    /// True if the worker is on the platform's list. Other workers may still run attempts.
    bool isListed = false;
    /// True if the worker answered the newest renewal of this session whose outcome is known. False
    /// before the first answer, and from a start that the worker didn't carry out until its next
    /// answer.
    bool isResponsive = false;
    /// When the worker last answered a renewal; before its first answer, when it was added.
    Core::Instant lastReportAt;
    /// The number of the renewal in flight; 0 if there is none.
    std::uint64_t renewalNumber = 0;
    Core::Instant renewalSentAt;
    Core::Instant nextRenewal;
    /// Attempts that the worker runs without an open attempt in the log. The resources that they
    /// use are unknown.
    std::set<AttemptId> unrecordedAttempts;
    /// Ended attempts that the worker need not report any more, because their end is recorded or no
    /// record awaits it.
    std::set<AttemptId> acknowledged;
    /// Open attempts on the worker, from the decision to start them until they are confirmed to
    /// have ended or are abandoned.
    std::set<AttemptId> attempts;

    bool isNeeded() const { return isListed || !attempts.empty() || !unrecordedAttempts.empty(); }
};

/// The workers on which a holder renews leases, and the times of their renewals.
class WorkerRegistry
{
public:
    /// Replaces the platform's list of workers. New workers are due for a renewal at once.
    void setListed(const std::vector<Platform::VmEntry> &workers, Core::Instant now);

    WorkerStatus *find(const Core::VmId &worker);
    const WorkerStatus *find(const Core::VmId &worker) const;
    /// Returns the status of \p worker, which is added if it is unknown. It need not be listed.
    WorkerStatus &findOrAdd(const Core::VmId &worker, Core::Instant now);
    const std::map<Core::VmId, WorkerStatus> &all() const { return m_statuses; }

    /// The workers whose renewal is due.
    std::vector<Core::VmId> due(Core::Instant now) const;
    void setNextRenewal(WorkerStatus &status, Core::Instant when);
    /// Call this when a renewal is sent; none is due until `setNextRenewal` is called.
    void suspendRenewal(WorkerStatus &status);
    std::optional<Core::Instant> nextRenewal() const;
    /// Removes \p worker if it isn't listed and has no attempts.
    void removeUnneeded(const Core::VmId &worker);

private:
    std::map<Core::VmId, WorkerStatus> m_statuses;
    std::set<std::pair<Core::Instant, Core::VmId>> m_due;
};

} // namespace Task
