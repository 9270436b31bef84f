#include <LibJob/WorkerChooser.h>

#include <algorithm>
#include <limits>
#include <map>

namespace Jobs {

// The base cost is the free processors in thousandths of a core; an additional cost that must
// outweigh it exceeds the size of a worker.
static constexpr double otherRackCost = 500'000;
static constexpr double interferenceCost = 1'000'000;
/// Highest allowed utilization as a fraction of that at which a target is just met; leaves a margin
/// for changes of the load.
static constexpr double maxTargetUtilization = 0.9;
/// Best-effort tasks with up to this multiple of a new task's interference compete with it; those
/// with more are throttled in its favor.
static constexpr double similarInterferenceRatio = 1.5;
/// Serving tasks of one image tolerate the same best-effort tasks. A worker with a single serving
/// image leaves more capacity for best-effort tasks than workers with several.
static constexpr double otherImagesCost = 300'000;
/// A worker that has come only just, or come back, may crash for a reason of its own.
static constexpr Core::Duration newWorkerTime = std::chrono::seconds(10);
static constexpr double previousFailureCost = 10'000'000;
/// Outweighs all but a failure of the task itself.
static constexpr double avoidedCost = 5'000'000;
/// Lets several tasks ask several workers at the same time, and outweighs no interference.
static constexpr double askedCost = 100'000;
/// Longer than the interval between reports of a worker that runs tasks.
static constexpr Core::Duration maxUnheard = std::chrono::milliseconds(2000);

const ServingForecast &WorkerChooser::forecast(WorkerState &worker) const
{
    ServingForecast &forecast = worker.forecast;
    if (forecast.revision == worker.revision)
        return forecast;
    forecast.revision = worker.revision;
    forecast.entries.clear();
    forecast.bestEffort = worker.plannedBestEffort();
    for (const auto &[image, count] : worker.servingImages()) {
        const auto predicted = worker.servingLoads.find(image);
        const double load = predicted == worker.servingLoads.end() ? m_slowdownModel.meanLoad(image)
                                                                   : predicted->second;
        forecast.entries.push_back({ image, load / m_slowdownModel.utilizationAtTarget(image) });
    }
    return forecast;
}

double WorkerChooser::utilizationAsServing(const WorkerState &worker,
                                           const PlacementRequest &request) const
{
    const std::vector<BestEffortUse> bestEffortUses = worker.plannedBestEffort();
    if (bestEffortUses.empty())
        return 0;
    return m_slowdownModel.meanLoad(request.image)
        * m_slowdownModel.slowdown(request.image, bestEffortUses)
        / m_slowdownModel.utilizationAtTarget(request.image);
}

bool WorkerChooser::wouldExceedTarget(WorkerState &worker, const PlacementRequest &request) const
{
    const double share = worker.shareOf(request.step->need.milliCores);
    const ServingForecast &servingForecast = forecast(worker);
    for (const ServingForecast::Entry &entry : servingForecast.entries) {
        const double interference = m_slowdownModel.interference(entry.image, request.image);
        double slowdown = 1 + interference * share;
        // Best-effort tasks with much more interference are throttled in favor of this one.
        for (const BestEffortUse &bestEffort : servingForecast.bestEffort) {
            const double other = m_slowdownModel.interference(entry.image, bestEffort.image);
            if (other <= similarInterferenceRatio * interference)
                slowdown += other * bestEffort.share;
        }
        if (entry.load * slowdown > maxTargetUtilization)
            return true;
    }
    return false;
}

static bool fits(const WorkerState &worker, const StepSpec &step, Core::Resources available)
{
    // A best-effort task on a worker without idle processors would wait and still occupy memory.
    if (step.isBestEffort)
        available.milliCores = worker.idleMilliCores();
    return step.need.fitsIn(available);
}

/// A failure says little about a task of another image, and a long-running task may fail any number
/// of times. So an overdue one may start on an avoided worker, where nobody else takes the
/// capacity; not where it would only be refused, or where it has failed itself. A worker that fails
/// everything gets one such start at a time.
static bool isAvoided(const WorkerState &worker, const PlacementRequest &request)
{
    if (request.now >= worker.avoidedUntil())
        return false;
    if (!request.isOverdue || request.now < worker.refusingUntil()
        || worker.info().id == request.failedOn)
        return true;
    return worker.isQuarantined(request.now) && !worker.startingRuns().empty();
}

Core::Resources WorkerChooser::availableResources(const WorkerState &worker,
                                                  const PlacementRequest &request) const
{
    const Core::Resources unreserved = worker.unreservedResources();
    if (worker.reserved() == Core::Resources())
        return unreserved;
    return unreserved + m_reservations.reservedFor(request.task, worker);
}

/// A suspect may start beside suspects of its own job and members of its own gang: a job is given
/// up as a whole, so it doesn't matter which of them crashes the worker. Beside suspects of other
/// jobs it may start only if none of them would be given up for another crash.
static bool isIsolated(const WorkerState &worker, const PlacementRequest &request)
{
    if (!request.isSuspect)
        return !worker.hasIsolatedRun() && !worker.isKeptForSuspect(request.now);
    const IsolationBounds &isolation = request.isolation;
    if (isolation.workerOfJob != nullptr && isolation.workerOfJob != &worker)
        return false;
    if (!worker.hasIsolatedRun() && !isolation.mayBegin)
        return false;
    const bool isShared = isolation.mayShare && worker.isIsolationShared();
    const auto mayStartBeside = [&](const TaskName &name) {
        const bool isOfJob = name.job == request.task.job;
        const bool isOfGang = isOfJob && request.step->isGang
            && name.occurrence == request.task.occurrence && name.step == request.task.step;
        return isOfGang || (worker.isIsolated(name) && (isOfJob || isShared));
    };
    const TaskNames &starting = worker.startingRuns();
    return std::all_of(starting.begin(), starting.end(), mayStartBeside);
}

Unsuitability WorkerChooser::unsuitability(WorkerState &worker,
                                           const PlacementRequest &request) const
{
    const WorkerInfo &info = worker.info();
    const StepSpec &step = *request.step;
    if (info.service != request.service)
        return Unsuitability::OtherService;
    if (request.outOfService->contains(info.failureDomain))
        return Unsuitability::OutOfService;
    if (info.isDraining)
        return Unsuitability::Draining;
    if (!step.requiredLabel.empty() && !info.hasLabel(step.requiredLabel))
        return Unsuitability::MissingLabel;
    if (!worker.isAnswering() || !worker.isClockKnown() || worker.unwantedUse().isPartlyUnknown
        || worker.contactBeganAt() > request.provenAt)
        return Unsuitability::Unknown;
    if (request.requiresDurableWorker && !request.job->isDurableWorker(info.id))
        return Unsuitability::NotRecorded;
    if (isAvoided(worker, request))
        return Unsuitability::Avoided;
    if (step.maxPerWorker > 0 && worker.runsOfStep(request.task) >= step.maxPerWorker)
        return Unsuitability::TooManyOfStep;
    if (!fits(worker, step, worker.freeResources()))
        return Unsuitability::NoRoom;
    // What an overdue task can use now isn't kept for one that needs more.
    if (!request.isOverdue && !fits(worker, step, availableResources(worker, request)))
        return Unsuitability::Reserved;
    if (!isIsolated(worker, request))
        return Unsuitability::NotIsolated;
    if (step.isBestEffort && !request.mayExceedTargets && wouldExceedTarget(worker, request))
        return Unsuitability::Disturbing;
    return Unsuitability::None;
}

double WorkerChooser::colocatedImagesCost(const WorkerState &worker, ImageIndex image)
{
    const std::map<ImageIndex, int> &images = worker.servingImages();
    const bool isAlone = images.empty() || (images.size() == 1 && images.contains(image));
    return isAlone ? 0 : otherImagesCost;
}

bool WorkerChooser::isUnheard(const WorkerState &worker, const PlacementRequest &request)
{
    return request.step->isLongRunning && !request.step->isGang
        && request.now > worker.lastAnswerAt() + maxUnheard;
}

double WorkerChooser::cost(WorkerState &worker, const PlacementRequest &request) const
{
    const StepSpec &step = *request.step;
    // Best-effort tasks go where most processors are idle, so that they hardly compete; other tasks
    // go where least capacity is free.
    double cost = step.isBestEffort ? -static_cast<double>(worker.idleMilliCores())
                                    : static_cast<double>(worker.unreservedResources().milliCores);
    if (!step.dataRack.empty() && !worker.info().hasLabel(step.dataRack))
        cost += otherRackCost;
    if (step.tailTargetMs > 0)
        cost += colocatedImagesCost(worker, request.image);
    if (step.tailTargetMs > 0 && utilizationAsServing(worker, request) > maxTargetUtilization)
        cost += interferenceCost;
    if (worker.info().id == request.failedOn)
        cost += previousFailureCost;
    if (worker.isAsked() && isUnheard(worker, request))
        cost += askedCost;
    if (request.now < worker.avoidedUntil())
        cost += avoidedCost;
    return cost;
}

std::string WorkerChooser::explain(const std::vector<WorkerState *> &workers,
                                   const PlacementRequest &request) const
{
    m_looks += static_cast<std::int64_t>(workers.size());
    std::map<Unsuitability, int> counts;
    for (WorkerState *worker : workers)
        ++counts[unsuitability(*worker, request)];
    std::string text = "workers=" + std::to_string(workers.size());
    for (const auto &[reason, count] : counts)
        text += std::string(" ") + unsuitabilityText(reason) + '=' + std::to_string(count);
    return text;
}

std::vector<WorkerState *> WorkerChooser::unsuitableFor(Unsuitability reason,
                                                        const std::vector<WorkerState *> &workers,
                                                        const PlacementRequest &request) const
{
    m_looks += static_cast<std::int64_t>(workers.size());
    std::vector<WorkerState *> unsuitable;
    for (WorkerState *worker : workers) {
        if (unsuitability(*worker, request) == reason)
            unsuitable.push_back(worker);
    }
    return unsuitable;
}

static double partOf(std::int64_t amount, std::int64_t whole)
{
    if (amount <= 0)
        return 0;
    return static_cast<double>(amount) / static_cast<double>(std::max<std::int64_t>(whole, 1));
}

/// Returns which part of the short tasks on the worker must end before \p need is available there.
static double partThatMustEnd(const WorkerState &worker, const Core::Resources &need)
{
    const Core::Resources missing = need - worker.unreservedResources();
    const Core::Resources temporary = worker.capacityBesideLongRunning() - worker.freeResources();
    return std::max(partOf(missing.milliCores, temporary.milliCores),
                    partOf(missing.mebibytes, temporary.mebibytes));
}

bool WorkerChooser::isReservationUseful(WorkerState &worker, const PlacementRequest &request) const
{
    const Unsuitability reason = unsuitability(worker, request);
    const bool lacksOnlyRoom = reason == Unsuitability::None || reason == Unsuitability::NoRoom
        || reason == Unsuitability::Reserved || reason == Unsuitability::NotIsolated;
    const int ofStep
        = worker.runsOfStep(request.task) + m_reservations.countOthersOfStep(request.task, worker);
    const bool isStepFull = request.step->maxPerWorker > 0 && ofStep >= request.step->maxPerWorker;
    const Core::Resources own = m_reservations.reservedFor(request.task, worker);
    const Core::Resources later = worker.capacityBesideLongRunning() - worker.reserved() + own;
    return lacksOnlyRoom && !isStepFull && request.step->need.fitsIn(later);
}

WorkerState *WorkerChooser::chooseToReserve(const std::vector<WorkerState *> &workers,
                                            const PlacementRequest &request) const
{
    m_looks += static_cast<std::int64_t>(workers.size());
    WorkerState *best = nullptr;
    double leastPart = std::numeric_limits<double>::max();
    for (WorkerState *worker : workers) {
        if (!isReservationUseful(*worker, request))
            continue;
        const double part = partThatMustEnd(*worker, request.step->need);
        if (part >= leastPart)
            continue;
        leastPart = part;
        best = worker;
    }
    return best;
}

bool WorkerChooser::isLessHarmful(const WorkerState &left, const WorkerState &right)
{
    return std::pair(left.servingCount(), left.runs().size())
        < std::pair(right.servingCount(), right.runs().size());
}

std::span<const CapacityIndex::Entry>
WorkerChooser::withEnoughProcessors(const PlacementRequest &request) const
{
    const StepSpec &step = *request.step;
    const CapacityIndex::Order &order = m_capacityIndex.order(request.service, step.isBestEffort);
    if (step.isBestEffort) {
        const auto end = std::partition_point(order.begin(), order.end(),
                                              [&step](const CapacityIndex::Entry &entry) {
                                                  return entry.baseCost <= -step.need.milliCores;
                                              });
        return { order.begin(), end };
    }
    const auto begin = std::partition_point(order.begin(), order.end(),
                                            [&step](const CapacityIndex::Entry &entry) {
                                                return entry.baseCost < step.need.milliCores;
                                            });
    return { begin, order.end() };
}

static bool lacksMemoryOrAccelerators(const CapacityIndex::Entry &entry, const StepSpec &step)
{
    return step.need.mebibytes > entry.freeMebibytes
        || step.need.accelerators > entry.freeAccelerators;
}

WorkerState *WorkerChooser::chooseForSuspect(const PlacementRequest &request) const
{
    if (WorkerState *worker = request.isolation.workerOfJob)
        return unsuitability(*worker, request) == Unsuitability::None ? worker : nullptr;
    WorkerState *best = nullptr;
    for (const CapacityIndex::Entry &entry : withEnoughProcessors(request)) {
        ++m_looks;
        if (unsuitability(*entry.worker, request) != Unsuitability::None)
            continue;
        const auto isNew = [&request](const WorkerState &worker) {
            return worker.contactBeganAt() + newWorkerTime > request.now;
        };
        // One that is avoided is as likely to crash for a reason of its own.
        const auto isDoubtful = [&](const WorkerState &worker) {
            return isNew(worker) || request.now < worker.avoidedUntil();
        };
        const bool isBetter = !best || (isDoubtful(*best) && !isDoubtful(*entry.worker))
            || (isDoubtful(*best) == isDoubtful(*entry.worker)
                && isLessHarmful(*entry.worker, *best));
        if (isBetter)
            best = entry.worker;
    }
    return best;
}

WorkerState *WorkerChooser::choose(const PlacementRequest &request) const
{
    WorkerState *reserved = m_reservations.workerOf(request.task);
    if (reserved && reserved->isListed()
        && unsuitability(*reserved, request) == Unsuitability::None)
        return reserved;
    if (request.mayOnlyUseReservation)
        return nullptr;
    WorkerState *worker = request.isSuspect ? chooseForSuspect(request) : chooseByCost(request);
    return worker || !request.isOverdue ? worker : chooseAmongReserved(request);
}

WorkerState *WorkerChooser::chooseByCost(const PlacementRequest &request) const
{
    const CapacityIndex::Entry *best = nullptr;
    double leastCost = std::numeric_limits<double>::max();
    for (const CapacityIndex::Entry &entry : withEnoughProcessors(request)) {
        if (static_cast<double>(entry.baseCost) > leastCost)
            break;
        if (lacksMemoryOrAccelerators(entry, *request.step))
            continue;
        ++m_looks;
        if (unsuitability(*entry.worker, request) != Unsuitability::None)
            continue;
        const double entryCost = cost(*entry.worker, request);
        const bool isBetter = entryCost < leastCost
            || (best && entryCost == leastCost && entry.position < best->position);
        if (!isBetter)
            continue;
        leastCost = entryCost;
        best = &entry;
    }
    return best ? best->worker : nullptr;
}

WorkerState *WorkerChooser::chooseAmongReserved(const PlacementRequest &request) const
{
    WorkerState *best = nullptr;
    double leastCost = std::numeric_limits<double>::max();
    for (const auto &[id, reserved] : m_reservations.workers()) {
        WorkerState *worker = reserved.worker;
        if (!worker->isListed() || !fits(*worker, *request.step, worker->freeResources()))
            continue;
        ++m_looks;
        if (unsuitability(*worker, request) != Unsuitability::None)
            continue;
        const double workerCost = cost(*worker, request);
        if (workerCost >= leastCost)
            continue;
        leastCost = workerCost;
        best = worker;
    }
    return best;
}

} // namespace Jobs
