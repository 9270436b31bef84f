#include <LibJob/WorkerChooser.h>

#include <algorithm>
#include <limits>
#include <map>

namespace Jobs {

// Costs in thousandths of a core that are left free; what must weigh more is larger than a worker.
static constexpr double otherRackCost = 500'000;
static constexpr double interferenceCost = 1'000'000;
/// Of the utilization at which a serving task just meets its target; its load swings.
static constexpr double largestUtilization = 0.85;
static constexpr double failedThereCost = 10'000'000;

const ServingForecast &WorkerChooser::forecast(WorkerState &worker) const
{
    ServingForecast &forecast = worker.forecast;
    if (forecast.revision == worker.revision)
        return forecast;
    forecast.revision = worker.revision;
    forecast.entries.clear();
    const std::vector<FillerUse> fillers = worker.plannedFillers();
    for (const auto &[image, count] : worker.servingImages()) {
        const auto known = worker.servingLoads.find(image);
        const double load
            = known == worker.servingLoads.end() ? m_pressure.meanLoad(image) : known->second;
        const double target = m_pressure.utilizationAtTarget(image);
        const double slowdown = m_pressure.slowdown(image, fillers);
        forecast.entries.push_back({ image, load * slowdown / target, load / target });
    }
    return forecast;
}

double WorkerChooser::worstUtilization(WorkerState &worker, const PlacementNeed &need) const
{
    const StepSpec &step = *need.step;
    if (step.tailTargetMs > 0) {
        const std::vector<FillerUse> fillers = worker.plannedFillers();
        return fillers.empty()
            ? 0
            : m_pressure.meanLoad(need.image) * m_pressure.slowdown(need.image, fillers)
                / m_pressure.utilizationAtTarget(need.image);
    }
    const double share = worker.shareOf(step.need.milliCores);
    double worst = 0;
    for (const ServingForecast::Entry &entry : forecast(worker).entries) {
        const double added = entry.load * m_pressure.pressure(entry.image, need.image) * share;
        worst = std::max(worst, entry.utilization + added);
    }
    return worst;
}

static bool fits(const WorkerState &worker, const StepSpec &step)
{
    if (!step.isFiller)
        return step.need.fitsIn(worker.freeRoom());
    // Where nothing is left a filler would only wait, and keep its memory.
    Core::Resources room = worker.freeRoom();
    room.milliCores = worker.idleMilliCores();
    return step.need.fitsIn(room);
}

Unsuitability WorkerChooser::unsuitability(WorkerState &worker, const PlacementNeed &need) const
{
    const WorkerInfo &info = worker.info();
    const StepSpec &step = *need.step;
    if (info.service != need.service)
        return Unsuitability::OtherService;
    if (need.outOfService->contains(info.failureDomain))
        return Unsuitability::OutOfService;
    if (info.isDraining)
        return Unsuitability::Draining;
    if (!step.requiredLabel.empty() && !info.hasLabel(step.requiredLabel))
        return Unsuitability::MissingLabel;
    if (worker.isSilent() || !worker.isSurveyed() || !worker.isClockKnown()
        || worker.metAt() > need.provenAt)
        return Unsuitability::Unknown;
    if (need.isDurableOnly && !need.job->mayUse(info.id))
        return Unsuitability::NotRecorded;
    if (worker.avoidedUntil() > need.now)
        return Unsuitability::Avoided;
    if (!fits(worker, step))
        return Unsuitability::NoRoom;
    if (m_reservation.isKeptFrom(need.task, worker))
        return Unsuitability::Reserved;
    if (step.mostPerWorker > 0 && worker.runsOfStep(need.task) >= step.mostPerWorker)
        return Unsuitability::TooManyOfStep;
    if (step.isFiller && !need.mayDisturb && worstUtilization(worker, need) > largestUtilization)
        return Unsuitability::Disturbing;
    return Unsuitability::None;
}

double WorkerChooser::cost(WorkerState &worker, const PlacementNeed &need) const
{
    const StepSpec &step = *need.step;
    // Fillers go where most is left, so that they hardly compete; the others where least is left.
    double cost = step.isFiller ? -static_cast<double>(worker.idleMilliCores())
                                : static_cast<double>(worker.freeRoom().milliCores);
    if (!step.dataRack.empty() && !worker.info().hasLabel(step.dataRack))
        cost += otherRackCost;
    if (step.tailTargetMs > 0 && worstUtilization(worker, need) > largestUtilization)
        cost += interferenceCost;
    if (worker.info().id == need.failedOn)
        cost += failedThereCost;
    return cost;
}

std::string WorkerChooser::explain(const std::vector<WorkerState *> &workers,
                                   const PlacementNeed &need) const
{
    std::map<Unsuitability, int> counts;
    for (WorkerState *worker : workers)
        ++counts[unsuitability(*worker, need)];
    std::string text = "workers=" + std::to_string(workers.size());
    for (const auto &[reason, count] : counts)
        text += std::string(" ") + unsuitabilityText(reason) + '=' + std::to_string(count);
    return text;
}

std::vector<WorkerState *> WorkerChooser::withoutRoom(const std::vector<WorkerState *> &workers,
                                                      const PlacementNeed &need) const
{
    std::vector<WorkerState *> full;
    for (WorkerState *worker : workers) {
        if (unsuitability(*worker, need) == Unsuitability::NoRoom)
            full.push_back(worker);
    }
    return full;
}

void WorkerChooser::beginPass(const std::vector<WorkerState *> &workers)
{
    m_mostRoom.clear();
    for (const WorkerState *worker : workers) {
        MostRoom &most = m_mostRoom[worker->info().service];
        const Core::Resources free = worker->freeRoom();
        most.free.milliCores = std::max(most.free.milliCores, free.milliCores);
        most.free.mebibytes = std::max(most.free.mebibytes, free.mebibytes);
        most.free.accelerators = std::max(most.free.accelerators, free.accelerators);
        most.idleMilliCores = std::max(most.idleMilliCores, worker->idleMilliCores());
    }
}

bool WorkerChooser::mayFitSomewhere(const PlacementNeed &need) const
{
    const auto most = m_mostRoom.find(need.service);
    if (most == m_mostRoom.end())
        return false;
    Core::Resources room = most->second.free;
    if (need.step->isFiller)
        room.milliCores = most->second.idleMilliCores;
    return need.step->need.fitsIn(room);
}

WorkerState *WorkerChooser::choose(const std::vector<WorkerState *> &workers,
                                   const PlacementNeed &need) const
{
    if (!mayFitSomewhere(need))
        return nullptr;
    WorkerState *best = nullptr;
    double leastCost = std::numeric_limits<double>::max();
    for (WorkerState *worker : workers) {
        if (unsuitability(*worker, need) != Unsuitability::None)
            continue;
        const double workersCost = cost(*worker, need);
        if (workersCost < leastCost) {
            leastCost = workersCost;
            best = worker;
        }
    }
    return best;
}

} // namespace Jobs
