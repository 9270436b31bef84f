#pragma once

#include "Builders.h"

#include <LibPlacement/Scheduler.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Runs one scheduler in virtual time, second by second: tasks run, fail, are evicted and resume.
class VirtualDomain
{
public:
    using FailureRule = std::function<bool(const Core::TaskId &, const Core::VmId &)>;

    VirtualDomain(Placement::Scheduler &scheduler, const Rules::RuleSet &rules,
                  const std::vector<Platform::VmEntry> &workers);

    /// A run time of zero means that the task runs for ever.
    void submit(const Task::TaskSpec &spec, int runSeconds);
    void setFailureRule(FailureRule rule) { m_fails = std::move(rule); }
    void run(int seconds);
    void observe(const Core::TaskId &task, double slowdown, const Core::Resources &used);

    int now() const { return m_now; }
    /// When the task was first started; nothing if it wasn't.
    std::optional<int> startedAt(const Core::TaskId &task) const;
    std::size_t startsOn(const std::string &worker) const;
    const std::vector<Placement::Decision> &decisions() const { return m_decisions; }
    /// The second of each of decisions().
    const std::vector<int> &decisionTimes() const { return m_decisionTimes; }
    template<typename Kind>
    std::vector<Kind> decided() const
    {
        return Builders::only<Kind>(m_decisions);
    }

private:
    struct Running
    {
        Placement::PlacedAttempt attempt;
        int endsAt = 0;
        Task::AttemptPhase phase = Task::AttemptPhase::Finished;
    };

    void endDue();
    void apply(const Placement::Decision &decision);
    void start(const Placement::StartDecision &start);

    Placement::Scheduler &m_scheduler;
    int m_now = 0;
    FailureRule m_fails;
    std::map<Core::TaskId, Task::TaskSpec> m_specs;
    std::map<Core::TaskId, int> m_runSeconds;
    std::map<Core::TaskId, int> m_firstStart;
    std::map<Core::TaskId, std::uint32_t> m_attempts;
    std::vector<Running> m_running;
    std::vector<Placement::Decision> m_decisions;
    std::vector<int> m_decisionTimes;
};
