#pragma once

#include <LibPlacement/Scheduler.h>
#include <LibTask/SchedulerFactory.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Task::Testing {

/// What a test tells the schedulers of one failure domain.
struct SchedulerOrders
{
    std::set<Core::TaskId> evict;
    std::set<Core::TaskId> hold;
};

/// First fit by declared resources, in the order of task ids.
class FakeScheduler : public Placement::Scheduler
{
public:
    explicit FakeScheduler(SchedulerOrders &orders);

    void setRules(const Rules::RuleSet &rules) override;
    void setWorkers(const std::vector<Platform::VmEntry> &workers) override;
    void addWaiting(const Placement::WaitingTask &task) override;
    void removeWaiting(const Core::TaskId &task) override;
    void adopt(const Placement::PlacedAttempt &attempt) override;
    void attemptStarted(const Placement::PlacedAttempt &attempt) override;
    void startAbandoned(const Core::TaskId &task) override;
    void attemptEnded(const AttemptId &attempt, AttemptPhase phase, Core::Instant now) override;
    void observe(const AttemptReport &report, Core::Instant now) override;
    std::vector<Placement::Decision> decide(Core::Instant now, std::size_t maximumStarts) override;
    std::string reasonNeverFits(const TaskSpec &spec) const override;
    std::string explain(const Core::TaskId &task) const override;

private:
    struct Reservation
    {
        Placement::WaitingTask task;
        Core::VmId worker;
        AttemptId attempt;
    };

    Core::Resources freeOf(const Platform::VmEntry &worker) const;

    SchedulerOrders &m_orders;
    std::vector<Platform::VmEntry> m_workers;
    std::map<Core::TaskId, Placement::WaitingTask> m_waiting;
    std::map<Core::TaskId, Reservation> m_reservations;
};

/// Makes the schedulers of one failure domain: fakes, or those of the product.
class TestSchedulerFactory : public SchedulerFactory
{
public:
    std::unique_ptr<Placement::Scheduler> create() const override;

    mutable SchedulerOrders orders;
    Core::FailureDomainId domain;
    bool isInformed = false;
};

} // namespace Task::Testing
