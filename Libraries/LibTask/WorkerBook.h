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

/// What a holder knows of one worker.
struct WorkerLine
{
    Platform::VmEntry entry;
    /// On the platform's list; a worker that isn't may still run attempts.
    bool isListed = false;
    /// Its newest renewal in this tenure was answered.
    bool isHeard = false;
    Core::Instant lastHeard;
    /// The number of the renewal on its way; 0 if there is none.
    std::uint64_t renewalNumber = 0;
    Core::Instant renewalSentAt;
    Core::Instant nextRenewal;
    /// Attempts that the worker runs and that no record accounts for. Their sizes are unknown.
    std::set<AttemptId> unknownAttempts;
    /// Attempts whose recorded end the worker need not report any more.
    std::set<AttemptId> acknowledged;
    /// Attempts of ours that are recorded and not proven to have ended.
    std::set<AttemptId> attempts;

    bool isNeeded() const { return isListed || !attempts.empty() || !unknownAttempts.empty(); }
};

/// All workers that a holder renews leases on.
class WorkerBook
{
public:
    /// Replaces the list of workers. New ones are due for a renewal at once.
    void setListed(const std::vector<Platform::VmEntry> &workers, Core::Instant now);

    WorkerLine *find(const Core::VmId &worker);
    const WorkerLine *find(const Core::VmId &worker) const;
    /// The line of \p worker, which need not be listed.
    WorkerLine &line(const Core::VmId &worker, Core::Instant now);
    const std::map<Core::VmId, WorkerLine> &lines() const { return m_lines; }

    /// The workers whose renewal is due.
    std::vector<Core::VmId> due(Core::Instant now) const;
    void setNextRenewal(WorkerLine &line, Core::Instant when);
    /// A renewal is on its way; none is due until it is answered or given up.
    void suspendRenewal(WorkerLine &line);
    std::optional<Core::Instant> nextRenewal() const;
    /// Drops workers that are neither listed nor known to run anything.
    void removeUnneeded(const Core::VmId &worker);

private:
    std::map<Core::VmId, WorkerLine> m_lines;
    std::set<std::pair<Core::Instant, Core::VmId>> m_due;
};

} // namespace Task
