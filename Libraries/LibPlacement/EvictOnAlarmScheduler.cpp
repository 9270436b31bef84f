#include <LibPlacement/EvictOnAlarmScheduler.h>

#include <utility>

namespace Placement {

EvictOnAlarmScheduler::EvictOnAlarmScheduler(Core::FailureDomainId failureDomain,
                                             double alarmSlowdown)
    : BaselineScheduler(std::move(failureDomain))
    , m_alarmSlowdown(alarmSlowdown)
{
}

void EvictOnAlarmScheduler::attemptEnded(const Task::AttemptId &attempt, Task::AttemptPhase phase,
                                         Core::Instant now)
{
    BaselineScheduler::attemptEnded(attempt, phase, now);
    m_usedMilliCores.erase(attempt);
    m_stopping.erase(attempt);
}

void EvictOnAlarmScheduler::observe(const Task::AttemptReport &report, Core::Instant /*now*/)
{
    const auto attempt = placed().find(report.attempt);
    if (attempt == placed().end())
        return;
    m_usedMilliCores[report.attempt] = report.used.milliCores;
    const bool isAlarm = report.slowdown > m_alarmSlowdown
        && isLatencyCritical(attempt->second.task.spec.taskClass);
    if (isAlarm)
        m_alarmed.insert(attempt->second.worker);
}

std::vector<Decision> EvictOnAlarmScheduler::decideEvictions(Core::Instant /*now*/)
{
    std::map<WorkerSlot, Task::AttemptId> largest;
    for (const auto &[attempt, state] : placed()) {
        const bool isCandidate = attempt.number != 0 && m_alarmed.contains(state.worker)
            && !isLatencyCritical(state.task.spec.taskClass) && !m_stopping.contains(attempt);
        if (!isCandidate)
            continue;
        const auto [position, isNew] = largest.try_emplace(state.worker, attempt);
        if (!isNew && m_usedMilliCores[attempt] > m_usedMilliCores[position->second])
            position->second = attempt;
    }
    m_alarmed.clear();
    std::vector<Decision> decisions;
    for (const auto &[worker, attempt] : largest) {
        m_stopping.insert(attempt);
        decisions.emplace_back(EvictDecision { attempt, idOf(worker), "alarm" });
    }
    return decisions;
}

} // namespace Placement
