#include <LibPlacement/CandidateSearch.h>

#include <algorithm>

namespace Placement {

namespace {

// Bounds on the workers and racks examined by one search.
constexpr std::size_t candidateLimit = 6;
constexpr std::size_t preemptionCandidateLimit = 6;
constexpr std::size_t rackLimit = 6;

// Weights of the cost by which the candidates are compared. The fraction of the worker's CPU that
// remains free has weight 1: latency-critical tasks prefer a large one, batch tasks a small one.
constexpr double costPerSameClassOnWorker = 4.0;
constexpr double costPerSameClassInRack = 1.0;
constexpr double costOfSlowdown = 3.0;
constexpr double costOfWastedAccelerators = 2.0;
constexpr double costOfInterference = 2.0;

/// The fraction of the worker's CPU that remains free.
double freeCpuFraction(const Core::Resources &available, const Core::Resources &capacity)
{
    if (capacity.milliCores <= 0)
        return 0.0;
    return static_cast<double>(available.milliCores) / static_cast<double>(capacity.milliCores);
}

/// The sum of the shortfall over all dimensions, in millicores.
std::int64_t shortfallOf(const Core::Resources &need, const Core::Resources &available)
{
    const Core::Resources shortfall = need - available;
    // One accelerator is weighted like 8 cores or about 32 GiB of memory.
    constexpr std::int64_t milliCoresPerAccelerator = 8000;
    constexpr std::int64_t mebibytesPerMilliCore = 4;
    return std::max<std::int64_t>(0, shortfall.milliCores)
        + std::max<std::int64_t>(0, shortfall.mebibytes) / mebibytesPerMilliCore
        + std::max<std::int64_t>(0, shortfall.accelerators) * milliCoresPerAccelerator;
}

} // namespace

CandidateSearch::CandidateSearch(Fleet &fleet, const InterferenceModel &interference,
                                 const WorkerHealth &health, std::size_t initialPosition)
    : m_fleet(fleet)
    , m_interference(interference)
    , m_health(health)
    , m_freeSearchPosition(initialPosition)
    , m_reclaimableSearchPosition(initialPosition)
{
}

SearchResult CandidateSearch::findFree(const PlacementRequest &request, Core::Instant now)
{
    std::vector<WorkerSlot> candidates;
    if (request.isLatencyCritical)
        candidates = candidatesInLeastUsedRacks(request, now);
    const CapacityTree &tree = m_fleet.unclaimedCapacity();
    SearchCursor cursor { m_freeSearchPosition, tree.visitLimit() };
    bool hasFit = !candidates.empty();
    std::size_t seen = 0;
    const std::size_t workers = tree.size();
    while (candidates.size() < candidateLimit && seen < workers) {
        const std::optional<WorkerSlot> worker = tree.find(request.need, cursor);
        if (!worker)
            break;
        ++seen;
        hasFit = true;
        const bool isRepeated
            = std::find(candidates.begin(), candidates.end(), *worker) != candidates.end();
        if (isRepeated)
            break;
        if (isAllowed(request, *worker, now))
            candidates.push_back(*worker);
    }
    m_freeSearchPosition = cursor.position;
    return { cheapest(request, candidates, now), hasFit };
}

std::optional<PreemptionChoice> CandidateSearch::findPreemption(const PlacementRequest &request,
                                                                const Preemptor &preemptor,
                                                                Core::Instant now)
{
    const CapacityTree &tree = m_fleet.reclaimableCapacity();
    SearchCursor cursor { m_reclaimableSearchPosition, tree.visitLimit() };
    std::optional<PreemptionChoice> best;
    std::size_t seen = 0;
    while (seen < std::min(preemptionCandidateLimit, tree.size())) {
        const std::optional<WorkerSlot> worker = tree.find(request.need, cursor);
        if (!worker)
            break;
        ++seen;
        if (m_health.hasFailedOn(request.task, *worker))
            continue;
        std::optional<PreemptionPlan> plan = planPreemptionOn(request, *worker, preemptor, now);
        if (plan && (!best || plan->isCheaperThan(best->plan)))
            best = PreemptionChoice { *worker, std::move(*plan) };
    }
    m_reclaimableSearchPosition = cursor.position;
    return best;
}

std::optional<WorkerSlot> CandidateSearch::findDrainWorker(const PlacementRequest &request)
{
    const CapacityTree &tree = m_fleet.reclaimableCapacity();
    SearchCursor cursor { m_reclaimableSearchPosition, tree.visitLimit() };
    std::optional<WorkerSlot> best;
    std::int64_t smallestShortfall = 0;
    for (std::size_t seen = 0; seen < std::min(candidateLimit, tree.size()); ++seen) {
        const std::optional<WorkerSlot> worker = tree.find(request.need, cursor);
        if (!worker)
            break;
        if (m_health.hasFailedOn(request.task, *worker))
            continue;
        const std::int64_t shortfall
            = shortfallOf(request.need, m_fleet.unclaimedCapacity().available(*worker));
        if (!best || shortfall < smallestShortfall) {
            best = worker;
            smallestShortfall = shortfall;
        }
    }
    m_reclaimableSearchPosition = cursor.position;
    return best ? best : workerWithSmallestShortfall(request);
}

bool CandidateSearch::isAllowed(const PlacementRequest &request, WorkerSlot worker,
                                Core::Instant now) const
{
    if (m_health.hasFailedOn(request.task, worker))
        return false;
    if (request.isLatencyCritical)
        return m_fleet.condition(worker) == WorkerCondition::Healthy;
    // Classes with low interference may use the workers that more interfering classes must avoid,
    // so that no capacity is wasted.
    if (m_interference.isLowInterference(request.classIndex) || !m_fleet.hasLatencyCritical(worker))
        return true;
    if (m_interference.isUnderPressure(worker, now))
        return false;
    const double cpuFraction = m_fleet.cpuFractionOf(worker, request.need);
    return request.toleratesInterference
        || m_interference.isSafeToPlace(worker, request.classIndex, cpuFraction);
}

std::vector<WorkerSlot> CandidateSearch::candidatesInLeastUsedRacks(const PlacementRequest &request,
                                                                    Core::Instant now)
{
    std::vector<WorkerSlot> candidates;
    for (const RackIndex rack : m_fleet.spread().leastUsedRacks(request.classIndex, rackLimit)) {
        for (const WorkerSlot worker : m_fleet.workersOfRack(rack)) {
            const bool fits = request.need.fitsIn(m_fleet.unclaimedCapacity().available(worker));
            if (fits && isAllowed(request, worker, now))
                candidates.push_back(worker);
        }
        if (candidates.size() >= candidateLimit)
            break;
    }
    return candidates;
}

double CandidateSearch::cost(const PlacementRequest &request, WorkerSlot worker,
                             Core::Instant now) const
{
    return request.isLatencyCritical ? latencyCriticalCost(request, worker, now)
                                     : batchCost(request, worker, now);
}

double CandidateSearch::latencyCriticalCost(const PlacementRequest &request, WorkerSlot worker,
                                            Core::Instant now) const
{
    int sameClassAttempts = 0;
    double addedSlowdown = 0.0;
    for (const RunningAttempt *attempt : m_fleet.attempts().onWorker(worker)) {
        if (!attempt->isLatencyCritical)
            addedSlowdown += m_interference.interferenceCoefficient(attempt->classIndex)
                * m_fleet.cpuFractionOf(worker, attempt->used);
        else if (attempt->classIndex == request.classIndex)
            ++sameClassAttempts;
    }
    const double slowdown = std::max(
        addedSlowdown, m_interference.expectedSlowdown(worker, request.classIndex, now) - 1.0);
    const Core::Resources remaining = m_fleet.unclaimedCapacity().available(worker) - request.need;
    return costPerSameClassOnWorker * sameClassAttempts
        + costPerSameClassInRack
        * m_fleet.spread().count(request.classIndex, m_fleet.rackOf(worker))
        + costOfSlowdown * slowdown - freeCpuFraction(remaining, m_fleet.ledger().capacity(worker));
}

double CandidateSearch::batchCost(const PlacementRequest &request, WorkerSlot worker,
                                  Core::Instant now) const
{
    const Core::Resources remaining = m_fleet.unclaimedCapacity().available(worker) - request.need;
    const bool wastesAccelerators = remaining.accelerators > 0 && request.need.accelerators == 0;
    const double coefficient = m_interference.interferenceCoefficient(request.classIndex);
    const double slowdown = m_interference.worstSlowdown(worker, now) - 1.0;
    return (wastesAccelerators ? costOfWastedAccelerators : 0.0)
        + costOfSlowdown * slowdown * (1.0 + coefficient)
        + costOfInterference * coefficient * slowdown
        + freeCpuFraction(remaining, m_fleet.ledger().capacity(worker));
}

std::optional<WorkerSlot> CandidateSearch::cheapest(const PlacementRequest &request,
                                                    const std::vector<WorkerSlot> &candidates,
                                                    Core::Instant now) const
{
    std::optional<WorkerSlot> best;
    double bestCost = 0.0;
    for (const WorkerSlot worker : candidates) {
        const double workerCost = cost(request, worker, now);
        if (!best || workerCost < bestCost) {
            best = worker;
            bestCost = workerCost;
        }
    }
    return best;
}

std::optional<PreemptionPlan> CandidateSearch::planPreemptionOn(const PlacementRequest &request,
                                                                WorkerSlot worker,
                                                                const Preemptor &preemptor,
                                                                Core::Instant now) const
{
    Core::Resources available = m_fleet.unclaimedCapacity().available(worker);
    std::vector<PreemptionVictim> victims;
    for (const RunningAttempt *attempt : m_fleet.attempts().onWorker(worker)) {
        if (attempt->isStopping)
            available = available + attempt->spec.declared;
        if (attempt->isEvictable())
            victims.push_back({ attempt->attempt, attempt->spec.team, attempt->spec.declared,
                                now - attempt->progressSavedAt });
    }
    return preemptor.plan(request.need, available, std::move(victims));
}

std::optional<WorkerSlot>
CandidateSearch::workerWithSmallestShortfall(const PlacementRequest &request) const
{
    std::optional<WorkerSlot> best;
    std::int64_t smallestShortfall = 0;
    for (WorkerSlot worker = 0; worker < m_fleet.workers(); ++worker) {
        const bool canFit = request.need.fitsIn(m_fleet.ledger().capacity(worker));
        const bool isHealthy
            = m_fleet.isSchedulable(worker) && !m_health.hasFailedOn(request.task, worker);
        if (!canFit || !isHealthy)
            continue;
        const Core::Resources available
            = m_fleet.available(worker) - m_fleet.claims().claimedOn(worker);
        const std::int64_t shortfall = shortfallOf(request.need, available);
        if (!best || shortfall < smallestShortfall) {
            best = worker;
            smallestShortfall = shortfall;
        }
    }
    return best;
}

} // namespace Placement
