#pragma once

#include <LibPlacement/Fleet.h>
#include <LibPlacement/InterferenceModel.h>
#include <LibPlacement/Preemptor.h>
#include <LibPlacement/WorkerHealth.h>

#include <optional>
#include <vector>

namespace Placement {

/// The task that a worker is searched for.
struct PlacementRequest
{
    Core::TaskId task;
    ClassIndex classIndex = 0;
    bool isLatencyCritical = false;
    Core::Resources need;
    /// True if the task has waited long enough to be placed where its class is expected to slow
    /// down latency-critical tasks.
    bool toleratesInterference = false;

    bool operator==(const PlacementRequest &) const = default;
};

/// The outcome of a search for a worker with enough available capacity.
struct SearchResult
{
    /// Empty if no suitable worker was found.
    std::optional<WorkerSlot> worker;
    /// True if some examined worker has enough capacity, even if the task isn't allowed there.
    bool hasFit = false;

    bool operator==(const SearchResult &) const = default;
};

/// A worker and the evictions that free enough capacity on it.
struct PreemptionChoice
{
    WorkerSlot worker = 0;
    PreemptionPlan plan;

    bool operator==(const PreemptionChoice &) const = default;
};

/// Collects a few workers with enough capacity and picks the cheapest by spreading over racks,
/// learned interference and free CPU. The number of workers examined is bounded, so that a search
/// costs time logarithmic in the number of workers. There are two exceptions: a latency-critical
/// request examines all workers of the least used racks, and findDrainWorker() may scan all
/// workers.
class CandidateSearch
{
public:
    /// The referenced objects must outlive the search. \p initialPosition, modulo the number of
    /// workers, is the slot at which the first searches begin; later ones continue where the
    /// previous one of their kind ended.
    CandidateSearch(Fleet &fleet, const InterferenceModel &interference, const WorkerHealth &health,
                    std::size_t initialPosition);

    /// Finds a worker on which the request fits without evictions.
    SearchResult findFree(const PlacementRequest &request, Core::Instant now);
    /// Finds, among the workers examined, the one with the cheapest evictions that make the request
    /// fit; nothing if \p preemptor has no sufficient plan for any of them.
    std::optional<PreemptionChoice> findPreemption(const PlacementRequest &request,
                                                   const Preemptor &preemptor, Core::Instant now);
    /// Finds, among the workers examined, the one with the smallest shortfall of free capacity, for
    /// a request that is to wait until attempts there end. If the bounded search finds none, all
    /// workers are scanned.
    std::optional<WorkerSlot> findDrainWorker(const PlacementRequest &request);

private:
    bool isAllowed(const PlacementRequest &request, WorkerSlot worker, Core::Instant now) const;
    std::vector<WorkerSlot> candidatesInLeastUsedRacks(const PlacementRequest &request,
                                                       Core::Instant now);
    double cost(const PlacementRequest &request, WorkerSlot worker, Core::Instant now) const;
    double latencyCriticalCost(const PlacementRequest &request, WorkerSlot worker,
                               Core::Instant now) const;
    double batchCost(const PlacementRequest &request, WorkerSlot worker, Core::Instant now) const;
    std::optional<WorkerSlot> cheapest(const PlacementRequest &request,
                                       const std::vector<WorkerSlot> &candidates,
                                       Core::Instant now) const;
    std::optional<PreemptionPlan> planPreemptionOn(const PlacementRequest &request,
                                                   WorkerSlot worker, const Preemptor &preemptor,
                                                   Core::Instant now) const;
    std::optional<WorkerSlot> workerWithSmallestShortfall(const PlacementRequest &request) const;

    Fleet &m_fleet;
    const InterferenceModel &m_interference;
    const WorkerHealth &m_health;
    WorkerSlot m_freeSearchPosition;
    WorkerSlot m_reclaimableSearchPosition;
};

} // namespace Placement
