#pragma once

#include <LibPlacement/PlainScheduler.h>

#include <set>

namespace Placement {

/// A baseline for measurements: first fit, and each report of a slowed-down latency-critical task
/// at once evicts the batch attempt beside it that uses most processors.
class EvictOnAlarmScheduler final : public PlainScheduler
{
public:
    EvictOnAlarmScheduler(Core::FailureDomainId failureDomain, double alarmSlowdown);

    void attemptEnded(const Task::AttemptId &attempt, Task::AttemptPhase phase,
                      Core::Instant now) override;
    void observe(const Task::AttemptReport &report, Core::Instant now) override;

protected:
    std::vector<Decision> decideFirst(Core::Instant now) override;

private:
    double m_alarmSlowdown;
    std::map<Task::AttemptId, std::int64_t> m_usedMilliCores;
    std::set<Task::AttemptId> m_stopping;
    std::set<WorkerSlot> m_alarmed;
};

} // namespace Placement
