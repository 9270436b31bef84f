#pragma once

#include "FakeScheduler.h"

#include <LibTask/DomainPlacer.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Task::Testing {

using namespace std::chrono_literals;

/// One placer of the failure domain "a", whose world is told step by step: two workers of four
/// cores, fresh rules, and a lease of ten seconds from the start on.
class PlacerBench
{
public:
    explicit PlacerBench(const PlacerGuards &guards = {})
        : placer(schedulers, settingsOf(guards))
    {
        for (const char *name : { "w0", "w1" }) {
            Platform::VmEntry entry;
            entry.id = Core::VmId(name);
            entry.failureDomain = domain;
            entry.capacity = { 4000, 4000, 0 };
            workers.push_back(entry);
        }
        placer.setWorkers(workers, now);
        placer.setRules(rules, 1);
        placer.setRulesFresh(true);
        placer.onLogPosition(0, 0, now);
    }

    void read(TaskRecordBody body, std::uint64_t epoch = 0)
    {
        placer.onRecord(offset++, TaskRecord::create(epoch, std::move(body)), now);
    }

    void submit(const std::string &task, std::int64_t milliCores = 3000)
    {
        Submitted body;
        body.spec.id = Core::TaskId(task);
        body.spec.declared = { milliCores, 100, 0 };
        read(std::move(body));
    }

    void hold()
    {
        placer.onEpoch(offset++, ++epoch);
        placer.becomeHolder(epoch, now + 10s, now);
    }

    /// Polls, and remembers the actions.
    void poll()
    {
        for (PlacerAction &action : placer.poll(now))
            actions.push_back(std::move(action));
    }

    /// Takes the actions of one kind out of what was remembered.
    template<typename Action>
    std::vector<Action> take()
    {
        std::vector<Action> taken;
        std::erase_if(actions, [&taken](const PlacerAction &action) {
            const auto *found = std::get_if<Action>(&action);
            if (found)
                taken.push_back(*found);
            return found != nullptr;
        });
        return taken;
    }

    /// Every worker with a renewal on its way answers with \p reports of it.
    void answerRenewals(const Core::VmId &worker = {},
                        const std::vector<AttemptReport> &reports = {})
    {
        for (const RenewWorker &renewal : take<RenewWorker>()) {
            const bool isMeant = renewal.worker == worker;
            placer.onWorkerReport(renewal.worker, renewal.number,
                                  isMeant ? reports : std::vector<AttemptReport> {}, now);
        }
    }

    /// The batch on its way, if any, ends with \p outcome; landed records are read back, too.
    std::vector<TaskRecord> answerAppend(AppendOutcome outcome)
    {
        std::vector<TaskRecord> records;
        for (const AppendRecords &batch : take<AppendRecords>()) {
            placer.onAppendOutcome(batch.batchId, outcome, now);
            for (const TaskRecord &record : batch.records) {
                records.push_back(record);
                if (outcome == AppendOutcome::Landed)
                    placer.onRecord(offset++, record, now);
            }
        }
        return records;
    }

    /// Lets everything that waits be recorded.
    std::vector<TaskRecord> settle()
    {
        poll();
        return answerAppend(AppendOutcome::Landed);
    }

    static PlacerSettings settingsOf(const PlacerGuards &guards)
    {
        PlacerSettings settings;
        settings.domain = Core::FailureDomainId("a");
        settings.self = Core::VmId("e1");
        settings.guards = guards;
        return settings;
    }

    const Core::FailureDomainId domain { "a" };
    TestSchedulerFactory schedulers;
    Core::Instant now { 1h };
    std::vector<Platform::VmEntry> workers;
    Rules::RuleSet rules;
    DomainPlacer placer;
    std::uint64_t offset = 0;
    std::uint64_t epoch = 0;
    std::vector<PlacerAction> actions;
};

/// How many of \p records hold a body of one kind.
template<typename Body>
std::size_t countOf(const std::vector<TaskRecord> &records)
{
    std::size_t count = 0;
    for (const TaskRecord &record : records)
        count += std::holds_alternative<Body>(record.body) ? 1 : 0;
    return count;
}

} // namespace Task::Testing
