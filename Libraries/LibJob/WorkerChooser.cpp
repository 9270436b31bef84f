#include <LibJob/WorkerChooser.h>

#include <algorithm>
#include <limits>

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

bool WorkerChooser::isEligible(WorkerState &worker, const PlacementNeed &need,
                               Core::Instant now) const
{
    const WorkerInfo &info = worker.info();
    if (info.isDraining || info.service != need.service || worker.isSilent())
        return false;
    if (!worker.isSurveyed() || worker.metAt() > need.provenAt)
        return false;
    if (!worker.isClockKnown() || worker.avoidedUntil() > now)
        return false;
    if (!fits(worker, *need.step))
        return false;
    if (!need.step->requiredLabel.empty() && !info.hasLabel(need.step->requiredLabel))
        return false;
    if (need.isDurableOnly && !need.job->mayUse(info.id))
        return false;
    if (need.step->isFiller && !need.mayDisturb
        && worstUtilization(worker, need) > largestUtilization)
        return false;
    const int most = need.step->mostPerWorker;
    return most == 0 || worker.runsOfStep(need.task) < most;
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

WorkerState *WorkerChooser::choose(const std::vector<WorkerState *> &workers,
                                   const PlacementNeed &need,
                                   const std::set<Core::FailureDomainId> &outOfService,
                                   Core::Instant now) const
{
    WorkerState *best = nullptr;
    double leastCost = std::numeric_limits<double>::max();
    for (WorkerState *worker : workers) {
        if (!isEligible(*worker, need, now))
            continue;
        if (outOfService.contains(worker->info().failureDomain))
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
