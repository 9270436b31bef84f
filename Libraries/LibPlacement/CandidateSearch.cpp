#include <LibPlacement/CandidateSearch.h>

#include <algorithm>

namespace Placement {

namespace {

constexpr std::size_t candidateLimit = 6;
constexpr std::size_t preemptionCandidateLimit = 6;
constexpr std::size_t rackLimit = 6;

constexpr double costPerClassmateOnWorker = 4.0;
constexpr double costPerClassmateInRack = 1.0;
constexpr double costOfSlowdown = 3.0;
constexpr double costOfWastedAccelerators = 2.0;
constexpr double costOfNoise = 2.0;

/// The part of the worker's processors that stays free.
double freePart(const Core::Resources &room, const Core::Resources &capacity)
{
    if (capacity.milliCores <= 0)
        return 0.0;
    return static_cast<double>(room.milliCores) / static_cast<double>(capacity.milliCores);
}

std::int64_t lackOf(const Core::Resources &need, const Core::Resources &room)
{
    const Core::Resources lack = need - room;
    // One accelerator weighs as much as eight processors or 32 GiB.
    constexpr std::int64_t milliCoresPerAccelerator = 8000;
    constexpr std::int64_t mebibytesPerCore = 4;
    return std::max<std::int64_t>(0, lack.milliCores)
        + std::max<std::int64_t>(0, lack.mebibytes) / mebibytesPerCore
        + std::max<std::int64_t>(0, lack.accelerators) * milliCoresPerAccelerator;
}

} // namespace

CandidateSearch::CandidateSearch(Fleet &fleet, const InterferenceModel &interference,
                                 const WorkerHealth &health, std::size_t firstPosition)
    : m_fleet(fleet)
    , m_interference(interference)
    , m_health(health)
    , m_freePosition(firstPosition)
    , m_reclaimablePosition(firstPosition)
{
}

SearchResult CandidateSearch::findFree(const PlacementRequest &request, Core::Instant now)
{
    std::vector<WorkerSlot> candidates;
    if (request.isLatencyCritical)
        candidates = candidatesInRacks(request, now);
    const WorkerIndex &index = m_fleet.freeIndex();
    SearchCursor cursor { m_freePosition, index.visitLimit() };
    bool hasFit = !candidates.empty();
    std::size_t seen = 0;
    const std::size_t workers = index.size();
    while (candidates.size() < candidateLimit && seen < workers) {
        const std::optional<WorkerSlot> worker = index.find(request.need, cursor);
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
    m_freePosition = cursor.position;
    return { cheapest(request, candidates, now), hasFit };
}

std::optional<PreemptionChoice> CandidateSearch::findPreemption(const PlacementRequest &request,
                                                                const Preemptor &preemptor,
                                                                Core::Instant now)
{
    const WorkerIndex &index = m_fleet.reclaimableIndex();
    SearchCursor cursor { m_reclaimablePosition, index.visitLimit() };
    std::optional<PreemptionChoice> best;
    std::size_t seen = 0;
    while (seen < std::min(preemptionCandidateLimit, index.size())) {
        const std::optional<WorkerSlot> worker = index.find(request.need, cursor);
        if (!worker)
            break;
        ++seen;
        if (m_health.hasFailedOn(request.task, *worker))
            continue;
        std::optional<PreemptionPlan> plan = planOn(request, *worker, preemptor, now);
        if (plan && (!best || plan->isCheaperThan(best->plan)))
            best = PreemptionChoice { *worker, std::move(*plan) };
    }
    m_reclaimablePosition = cursor.position;
    return best;
}

std::optional<WorkerSlot> CandidateSearch::findDrain(const PlacementRequest &request)
{
    const WorkerIndex &index = m_fleet.reclaimableIndex();
    SearchCursor cursor { m_reclaimablePosition, index.visitLimit() };
    std::optional<WorkerSlot> best;
    std::int64_t bestLack = 0;
    for (std::size_t seen = 0; seen < std::min(candidateLimit, index.size()); ++seen) {
        const std::optional<WorkerSlot> worker = index.find(request.need, cursor);
        if (!worker)
            break;
        if (m_health.hasFailedOn(request.task, *worker))
            continue;
        const std::int64_t lack = lackOf(request.need, m_fleet.freeIndex().room(*worker));
        if (!best || lack < bestLack) {
            best = worker;
            bestLack = lack;
        }
    }
    m_reclaimablePosition = cursor.position;
    return best ? best : largestWorkerFor(request);
}

bool CandidateSearch::isAllowed(const PlacementRequest &request, WorkerSlot worker,
                                Core::Instant now) const
{
    if (m_health.hasFailedOn(request.task, worker))
        return false;
    if (request.isLatencyCritical)
        return m_fleet.condition(worker) == WorkerCondition::Sound;
    // Quiet work fills what noisy work must leave, so that no room is wasted.
    if (m_interference.isQuiet(request.classIndex) || !m_fleet.hasLatencyCritical(worker))
        return true;
    if (m_interference.isUnderPressure(worker, now))
        return false;
    const double part = m_fleet.partOf(worker, request.need);
    return request.hasWaited || m_interference.isHarmless(worker, request.classIndex, part);
}

std::vector<WorkerSlot> CandidateSearch::candidatesInRacks(const PlacementRequest &request,
                                                           Core::Instant now)
{
    std::vector<WorkerSlot> candidates;
    for (const RackIndex rack : m_fleet.spread().leastUsedRacks(request.classIndex, rackLimit)) {
        for (const WorkerSlot worker : m_fleet.workersOfRack(rack)) {
            const bool fits = request.need.fitsIn(m_fleet.freeIndex().room(worker));
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
    int classmates = 0;
    double pressure = 0.0;
    for (const RunningAttempt *attempt : m_fleet.attempts().onWorker(worker)) {
        if (!attempt->isLatencyCritical)
            pressure += m_interference.noise(attempt->classIndex)
                * m_fleet.partOf(worker, attempt->used);
        else if (attempt->classIndex == request.classIndex)
            ++classmates;
    }
    const double slowdown = std::max(
        pressure, m_interference.expectedSlowdown(worker, request.classIndex, now) - 1.0);
    const Core::Resources room = m_fleet.freeIndex().room(worker) - request.need;
    return costPerClassmateOnWorker * classmates
        + costPerClassmateInRack
        * m_fleet.spread().count(request.classIndex, m_fleet.rackOf(worker))
        + costOfSlowdown * slowdown - freePart(room, m_fleet.ledger().capacity(worker));
}

double CandidateSearch::batchCost(const PlacementRequest &request, WorkerSlot worker,
                                  Core::Instant now) const
{
    const Core::Resources room = m_fleet.freeIndex().room(worker) - request.need;
    const bool wastes = room.accelerators > 0 && request.need.accelerators == 0;
    const double noise = m_interference.noise(request.classIndex);
    const double slowdown = m_interference.worstSlowdown(worker, now) - 1.0;
    return (wastes ? costOfWastedAccelerators : 0.0) + costOfSlowdown * slowdown * (1.0 + noise)
        + costOfNoise * noise * slowdown + freePart(room, m_fleet.ledger().capacity(worker));
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

std::optional<PreemptionPlan> CandidateSearch::planOn(const PlacementRequest &request,
                                                      WorkerSlot worker, const Preemptor &preemptor,
                                                      Core::Instant now) const
{
    Core::Resources room = m_fleet.freeIndex().room(worker);
    std::vector<PreemptionVictim> victims;
    for (const RunningAttempt *attempt : m_fleet.attempts().onWorker(worker)) {
        if (attempt->isStopping)
            room = room + attempt->spec.declared;
        if (attempt->isEvictable())
            victims.push_back({ attempt->attempt, attempt->spec.team, attempt->spec.declared,
                                now - attempt->progressSavedAt });
    }
    return preemptor.plan(request.need, room, std::move(victims));
}

std::optional<WorkerSlot> CandidateSearch::largestWorkerFor(const PlacementRequest &request) const
{
    std::optional<WorkerSlot> best;
    std::int64_t bestLack = 0;
    for (WorkerSlot worker = 0; worker < m_fleet.workers(); ++worker) {
        const bool canFit = request.need.fitsIn(m_fleet.ledger().capacity(worker));
        const bool isSound
            = m_fleet.isOffered(worker) && !m_health.hasFailedOn(request.task, worker);
        if (!canFit || !isSound)
            continue;
        const Core::Resources room = m_fleet.room(worker) - m_fleet.claims().claimedOn(worker);
        const std::int64_t lack = lackOf(request.need, room);
        if (!best || lack < bestLack) {
            best = worker;
            bestLack = lack;
        }
    }
    return best;
}

} // namespace Placement
