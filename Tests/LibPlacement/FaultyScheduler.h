#pragma once

#include <LibPlacement/InformedScheduler.h>

#include <map>
#include <memory>
#include <utility>

/// What a scheduler with one guard taken out does.
enum class Fault {
    None,
    /// Takes the room of an evicted attempt as free before its stop is proven.
    FreesOnEviction,
    /// Takes the end of an old attempt for the end of the task's newest one.
    EndsByTask,
    /// Doesn't look at who is leaving or missing in the list.
    IgnoresList,
    /// Doesn't look at which failure domain is out.
    IgnoresOutages,
};

/// The informed scheduler behind a fault, to show that the properties find it.
class FaultyScheduler final : public Placement::Scheduler
{
public:
    FaultyScheduler(Fault fault, const Placement::SchedulerSettings &settings)
        : m_fault(fault)
        , m_inner(Placement::InformedScheduler::create(settings))
    {
    }

    const Placement::InformedScheduler &inner() const { return *m_inner; }

    void setRules(const Rules::RuleSet &rules) override
    {
        Rules::RuleSet seen = rules;
        if (m_fault == Fault::IgnoresOutages)
            seen.domainsOut.clear();
        m_inner->setRules(seen);
    }

    void setWorkers(const std::vector<Platform::VmEntry> &workers) override
    {
        if (m_fault != Fault::IgnoresList) {
            m_inner->setWorkers(workers);
            return;
        }
        for (const Platform::VmEntry &worker : workers) {
            m_everListed[worker.id] = worker;
            m_everListed[worker.id].state = Platform::VmState::Live;
        }
        std::vector<Platform::VmEntry> all;
        for (const auto &[id, worker] : m_everListed)
            all.push_back(worker);
        m_inner->setWorkers(all);
    }

    void addWaiting(const Placement::WaitingTask &task) override { m_inner->addWaiting(task); }
    void removeWaiting(const Core::TaskId &task) override { m_inner->removeWaiting(task); }
    void adopt(const Placement::PlacedAttempt &attempt) override
    {
        m_newest[attempt.spec.id] = attempt.attempt;
        m_inner->adopt(attempt);
    }
    void attemptStarted(const Placement::PlacedAttempt &attempt) override
    {
        m_newest[attempt.spec.id] = attempt.attempt;
        m_inner->attemptStarted(attempt);
    }
    void startAbandoned(const Core::TaskId &task) override { m_inner->startAbandoned(task); }
    void attemptEnded(const Task::AttemptId &attempt, Task::AttemptPhase phase,
                      Core::Instant now) override
    {
        const bool isMixedUp = m_fault == Fault::EndsByTask;
        m_inner->attemptEnded(isMixedUp ? m_newest[attempt.task] : attempt, phase, now);
    }
    void observe(const Task::AttemptReport &report, Core::Instant now) override
    {
        m_inner->observe(report, now);
    }
    std::vector<Placement::Decision> decide(Core::Instant now, std::size_t maximumStarts) override
    {
        auto decisions = m_inner->decide(now, maximumStarts);
        for (const Placement::Decision &decision : decisions) {
            const auto *evict = std::get_if<Placement::EvictDecision>(&decision);
            if (evict && m_fault == Fault::FreesOnEviction)
                m_inner->attemptEnded(evict->attempt, Task::AttemptPhase::Stopped, now);
        }
        return decisions;
    }
    std::string reasonNeverFits(const Task::TaskSpec &spec) const override
    {
        return m_inner->reasonNeverFits(spec);
    }
    std::string explain(const Core::TaskId &task) const override { return m_inner->explain(task); }

private:
    Fault m_fault;
    std::unique_ptr<Placement::InformedScheduler> m_inner;
    std::map<Core::VmId, Platform::VmEntry> m_everListed;
    std::map<Core::TaskId, Task::AttemptId> m_newest;
};
