#pragma once

#include <LibPlacement/CapacityLedger.h>
#include <LibPlacement/Scheduler.h>

#include <deque>
#include <map>
#include <vector>

namespace Placement {

/// The common part of the baseline schedulers for benchmarks: tries the tasks in order of
/// submission and starts each on the first worker with enough unreserved capacity for its declared
/// size; a task that fits nowhere doesn't delay the smaller ones after it. Learns nothing and
/// preempts nothing.
class BaselineScheduler : public Scheduler
{
public:
    explicit BaselineScheduler(Core::FailureDomainId failureDomain);

    void setRules(const Rules::RuleSet &rules) override;
    void setWorkers(const std::vector<Platform::VmEntry> &workers) override;
    void addWaiting(const WaitingTask &task) override;
    void removeWaiting(const Core::TaskId &task) override;
    void adopt(const PlacedAttempt &attempt) override;
    void attemptStarted(const PlacedAttempt &attempt) override;
    void startAbandoned(const Core::TaskId &task) override;
    void attemptEnded(const Task::AttemptId &attempt, Task::AttemptPhase phase,
                      Core::Instant now) override;
    void observe(const Task::AttemptReport &report, Core::Instant now) override;
    std::vector<Decision> decide(Core::Instant now, std::size_t maximumStarts) override;
    std::string reasonNeverFits(const Task::TaskSpec &spec) const override;
    std::string explain(const Core::TaskId &task) const override;

protected:
    struct Placed
    {
        WaitingTask task;
        WorkerSlot worker = 0;
    };

    bool isLatencyCritical(const Core::TaskClassId &taskClass) const;
    const std::map<Task::AttemptId, Placed> &placed() const { return m_placed; }
    const Core::VmId &idOf(WorkerSlot worker) const { return m_workers.at(worker).id; }
    /// The evictions of a scheduling pass, decided before its starts; none by default.
    virtual std::vector<Decision> decideEvictions(Core::Instant now);

private:
    WorkerSlot findOrAddSlot(const Core::VmId &worker);
    bool tryStart(const WaitingTask &task, std::vector<Decision> &decisions);

    Core::FailureDomainId m_failureDomain;
    Rules::RuleSet m_rules;
    std::vector<Platform::VmEntry> m_workers;
    std::vector<bool> m_isSchedulable;
    std::map<Core::VmId, WorkerSlot> m_slots;
    CapacityLedger m_ledger;
    std::map<Task::AttemptId, Placed> m_placed;
    std::deque<WaitingTask> m_waiting;
};

} // namespace Placement
