#pragma once

#include <LibCore/Time.h>
#include <LibJob/WorkerObserver.h>
#include <LibJob/WorkerState.h>

#include <set>
#include <utility>
#include <vector>

namespace Jobs {

/// The workers that want a renewal, ordered by the time of it.
///
/// A worker that wants no renewal isn't referred to and may be deleted.
class RenewalQueue final : public WorkerObserver
{
public:
    void onWorkerChanged(WorkerState &worker) override;
    /// Returns the workers whose renewal is due, ordered by their IDs.
    std::vector<WorkerState *> due(Core::Instant now) const;
    /// Returns the earliest time of a renewal, but at most \p limit.
    Core::Instant nextDueAt(Core::Instant limit) const;

private:
    std::set<std::pair<Core::Instant, WorkerState *>> m_queue;
};

} // namespace Jobs
