#pragma once

#include <LibPlacement/BaselineScheduler.h>

#include <set>

namespace Placement {

/// A baseline for benchmarks: first fit; after a latency-critical task has reported a slowdown, the
/// next scheduling pass evicts the batch attempt on the same worker that uses the most CPU.
class EvictOnAlarmScheduler final : public BaselineScheduler
{
public:
    /// A latency-critical task counts as slowed down above \p alarmSlowdown, relative to running
    /// alone.
    EvictOnAlarmScheduler(Core::FailureDomainId failureDomain, double alarmSlowdown);

    void attemptEnded(const Task::AttemptId &attempt, Task::AttemptPhase phase,
                      Core::Instant now) override;
    void observe(const Task::AttemptReport &report, Core::Instant now) override;

protected:
    std::vector<Decision> decideEvictions(Core::Instant now) override;

private:
    double m_alarmSlowdown;
    std::map<Task::AttemptId, std::int64_t> m_usedMilliCores;
    std::set<Task::AttemptId> m_stopping;
    std::set<WorkerSlot> m_alarmed;
};

} // namespace Placement
