#pragma once

#include "Builders.h"

#include <LibPlacement/Scheduler.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// One step of a random history; the numbers choose among what is possible at that moment.
struct Command
{
    std::uint8_t kind = 0;
    std::uint8_t first = 0;
    std::uint8_t second = 0;

    bool operator==(const Command &) const = default;
};

/// Plays a random history to a scheduler, keeps the truth beside it, and notes each decision that
/// breaks a promise.
class DomainDriver
{
public:
    explicit DomainDriver(Placement::Scheduler &scheduler);

    void play(const std::vector<Command> &commands);

    const std::vector<std::string> &violations() const { return m_violations; }
    /// All decisions in their order, as text.
    const std::string &transcript() const { return m_transcript; }
    /// What the truth says is reserved on the worker.
    Core::Resources reservedOn(const Core::VmId &worker) const;
    std::size_t reservations() const { return m_placed.size(); }
    const std::vector<Platform::VmEntry> &workers() const { return m_workers; }

private:
    struct Placed
    {
        Placement::PlacedAttempt attempt;
        bool isNamed = false;
    };

    void play(const Command &command);
    void addTask(const Command &command);
    void cancel(const Command &command);
    void decide(const Command &command);
    void confirm(const Command &command);
    void abandon(const Command &command);
    void end(const Command &command);
    void endAgain(const Command &command);
    void observe(const Command &command);
    void changeList(const Command &command);
    void changeRules(const Command &command);
    void adopt(const Command &command);

    void check(const Placement::StartDecision &start);
    void check(const Placement::EvictDecision &evict);
    void check(const Placement::ThrottleDecision &throttle);
    void check(const Placement::HoldDecision &hold);
    void violate(const std::string &what) { m_violations.push_back(what); }
    const Platform::VmEntry *listed(const Core::VmId &worker) const;
    Placed *pick(const Command &command, bool isNamed);

    Placement::Scheduler &m_scheduler;
    Core::Instant m_now;
    int m_nextTask = 0;
    bool m_isOut = false;
    std::vector<Platform::VmEntry> m_workers;
    std::map<Core::TaskId, Task::TaskSpec> m_waiting;
    std::map<Core::TaskId, std::uint32_t> m_attempts;
    std::vector<Placed> m_placed;
    std::vector<Task::AttemptId> m_ended;
    std::vector<std::string> m_violations;
    std::string m_transcript;
};
