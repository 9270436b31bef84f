#pragma once

#include <LibPlacement/Fleet.h>
#include <LibPlacement/InterferenceModel.h>
#include <LibPlacement/Preemptor.h>
#include <LibPlacement/WorkerHealth.h>

#include <optional>
#include <vector>

namespace Placement {

/// What a worker is sought for.
struct PlacementRequest
{
    Core::TaskId task;
    ClassIndex classIndex = 0;
    bool isLatencyCritical = false;
    Core::Resources need;
    /// True if it has waited long enough to go where its class is expected to disturb.
    bool hasWaited = false;

    bool operator==(const PlacementRequest &) const = default;
};

/// The outcome of a search.
struct SearchResult
{
    std::optional<WorkerSlot> worker;
    /// True if some worker has room, even if it isn't allowed.
    bool hasFit = false;

    bool operator==(const SearchResult &) const = default;
};

/// A worker and the evictions that make room there.
struct PreemptionChoice
{
    WorkerSlot worker = 0;
    PreemptionPlan plan;

    bool operator==(const PreemptionChoice &) const = default;
};

/// Finds a few workers that fit and takes the best of them by spreading, learned interference and
/// tightness. The number of workers looked at is bounded, so the cost is logarithmic.
class CandidateSearch
{
public:
    /// The referenced objects must outlive the search.
    CandidateSearch(Fleet &fleet, const InterferenceModel &interference, const WorkerHealth &health,
                    std::size_t firstPosition);

    SearchResult findFree(const PlacementRequest &request, Core::Instant now);
    std::optional<PreemptionChoice> findPreemption(const PlacementRequest &request,
                                                   const Preemptor &preemptor, Core::Instant now);
    /// The worker that is nearest to having room by itself.
    std::optional<WorkerSlot> findDrain(const PlacementRequest &request);

private:
    bool isAllowed(const PlacementRequest &request, WorkerSlot worker, Core::Instant now) const;
    std::vector<WorkerSlot> candidatesInRacks(const PlacementRequest &request, Core::Instant now);
    double cost(const PlacementRequest &request, WorkerSlot worker, Core::Instant now) const;
    double latencyCriticalCost(const PlacementRequest &request, WorkerSlot worker,
                               Core::Instant now) const;
    double batchCost(const PlacementRequest &request, WorkerSlot worker, Core::Instant now) const;
    std::optional<WorkerSlot> cheapest(const PlacementRequest &request,
                                       const std::vector<WorkerSlot> &candidates,
                                       Core::Instant now) const;
    std::optional<PreemptionPlan> planOn(const PlacementRequest &request, WorkerSlot worker,
                                         const Preemptor &preemptor, Core::Instant now) const;
    std::optional<WorkerSlot> largestWorkerFor(const PlacementRequest &request) const;

    Fleet &m_fleet;
    const InterferenceModel &m_interference;
    const WorkerHealth &m_health;
    WorkerSlot m_freePosition;
    WorkerSlot m_reclaimablePosition;
};

} // namespace Placement
