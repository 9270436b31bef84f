#include <LibPlacement/InformedScheduler.h>

#include <algorithm>
#include <sstream>

namespace Placement {

namespace {

Core::Resources maximumPerDimension(const std::vector<Core::Resources> &capacities)
{
    Core::Resources largest;
    for (const Core::Resources &capacity : capacities) {
        largest.milliCores = std::max(largest.milliCores, capacity.milliCores);
        largest.mebibytes = std::max(largest.mebibytes, capacity.mebibytes);
        largest.accelerators = std::max(largest.accelerators, capacity.accelerators);
    }
    return largest;
}

std::string amountOf(const std::string &dimension, const Core::Resources &resources)
{
    std::ostringstream text;
    constexpr double milliCoresPerProcessor = 1000.0;
    if (dimension == "processors")
        text << static_cast<double>(resources.milliCores) / milliCoresPerProcessor;
    else if (dimension == "memory")
        text << resources.mebibytes << " MiB of";
    else
        text << resources.accelerators;
    return text.str();
}

/// Describes the first dimension of \p need that exceeds \p largest, for instance "needs 3
/// accelerators, the largest free worker has 1"; empty if all dimensions fit.
std::string describeShortfall(const Core::Resources &need, const Core::Resources &largest,
                              const std::string &worker)
{
    const std::string dimension = need.firstDimensionAbove(largest);
    if (dimension.empty())
        return {};
    const Core::Resources available { std::max<std::int64_t>(0, largest.milliCores),
                                      std::max<std::int64_t>(0, largest.mebibytes),
                                      std::max<std::int64_t>(0, largest.accelerators) };
    std::string has = amountOf(dimension, available);
    if (dimension == "memory")
        has += " it";
    return "needs " + amountOf(dimension, need) + " " + dimension + ", the largest " + worker
        + " has " + has;
}

} // namespace

std::string InformedScheduler::reasonNeverFits(const Task::TaskSpec &spec) const
{
    const std::string negative = Core::Resources {}.firstDimensionAbove(spec.declared);
    const bool isNegative = spec.declared.milliCores < 0 || spec.declared.mebibytes < 0
        || spec.declared.accelerators < 0;
    if (isNegative)
        return "declares less than no " + negative;
    // Before the first list of workers a task can't be judged, and a refusal would be final.
    if (m_distinctCapacities.empty())
        return {};
    const auto fits
        = [&spec](const Core::Resources &capacity) { return spec.declared.fitsIn(capacity); };
    if (std::any_of(m_distinctCapacities.begin(), m_distinctCapacities.end(), fits))
        return {};
    std::string reason
        = describeShortfall(spec.declared, maximumPerDimension(m_distinctCapacities), "worker");
    if (!reason.empty())
        return reason;
    std::ostringstream text;
    text << "needs " << spec.declared << " together, which no single worker has";
    return text.str();
}

std::string InformedScheduler::explain(const Core::TaskId &task) const
{
    if (const RunningAttempt *attempt = m_fleet.attempts().findTask(task))
        return explainRunning(*attempt);
    if (const Claim *claim = m_fleet.claims().find(task))
        return explainClaim(*claim);
    const auto held = m_held.find(task);
    if (held != m_held.end())
        return "held: " + held->second;
    if (const WaitingQueue::Item *item = m_queue.find(task))
        return explainWaiting(*item);
    return "not known in failure domain " + m_settings.failureDomain.text();
}

std::string InformedScheduler::explainRunning(const RunningAttempt &attempt) const
{
    const std::string &worker = m_fleet.idOf(attempt.worker).text();
    if (!attempt.hasNumber())
        return "starts on " + worker;
    std::string text
        = "attempt " + std::to_string(attempt.attempt.number) + " holds its room on " + worker;
    if (attempt.isStopping)
        text += "; it is being evicted, and the room is free once the stop is proven";
    if (attempt.throttlePercent < 100)
        text += "; throttled to " + std::to_string(attempt.throttlePercent)
            + "% of its processors because of its neighbours";
    return text;
}

std::string InformedScheduler::explainClaim(const Claim &claim) const
{
    const std::string &worker = m_fleet.idOf(claim.worker).text();
    if (claim.kind == ClaimKind::Preemption)
        return "waits: batch work on " + worker + " is being evicted for it";
    return "waits: room that becomes free on " + worker + " is kept for it";
}

std::string InformedScheduler::explainWaiting(const WaitingQueue::Item &item) const
{
    const Task::TaskSpec &spec = item.task.spec;
    const std::string &domain = m_settings.failureDomain.text();
    const auto out = m_rules.domainsOut.find(m_settings.failureDomain);
    if (out != m_rules.domainsOut.end())
        return "waits: failure domain " + domain + " is out, asked for by "
            + out->second.requestedBy;
    const auto place = m_rules.places.find(spec.taskClass);
    if (place != m_rules.places.end() && !isAllowedHere(spec.taskClass))
        return "waits: class " + spec.taskClass.text() + " may not run in " + domain
            + ", asked for by " + place->second.requestedBy;
    const std::string never = reasonNeverFits(spec);
    if (!never.empty())
        return "waits: " + never;
    return "waits: " + explainMissingCapacity(item);
}

std::string InformedScheduler::explainMissingCapacity(const WaitingQueue::Item &item) const
{
    const Task::TaskSpec &spec = item.task.spec;
    const std::string tooSmall = describeShortfall(
        spec.declared, m_fleet.unclaimedCapacity().largestAvailable(), "free worker");
    std::string text = tooSmall;
    if (text.empty()) {
        std::ostringstream together;
        together << "needs " << spec.declared << " together on one worker";
        text = together.str();
    }
    const auto queue = m_queue.teamQueues().find(item.queueId);
    const auto ahead = std::distance(queue->second.begin(), queue->second.find(&item));
    if (ahead > 0)
        text += "; " + std::to_string(ahead) + " tasks of team " + spec.team.text() + " go first";
    if (m_fleet.quotas().wouldBorrow(spec.team, item.queueId.kind, spec.declared))
        text += "; the team would borrow beyond its quota";
    const std::size_t failures = m_health.failuresOfJob(spec.id);
    if (failures > 0)
        text += "; it failed on " + std::to_string(failures) + " workers, which it avoids";
    return text;
}

} // namespace Placement
