#include "VirtualDomain.h"

#include <LibPlacement/FirstFitScheduler.h>

#include <rapidcheck/catch.h>

using namespace Builders;
using namespace Placement;

namespace {

constexpr int workerCount = 8;
constexpr int taskCount = 120;

void submitStream(VirtualDomain &domain, int tasks)
{
    for (int i = 0; i < tasks; ++i) {
        domain.submit(spec("task-" + std::to_string(i), cores(1 + i % 3)), 3 + i % 7);
        if (i % 12 == 11)
            domain.run(1);
    }
    domain.run(300);
}

VirtualDomain::FailureRule failsOn(const std::string &worker)
{
    return [worker](const TaskId &, const VmId &chosen) { return chosen == VmId(worker); };
}

VirtualDomain::FailureRule failsJob(const std::string &job)
{
    return [job](const TaskId &task, const VmId &) { return task == TaskId(job); };
}

std::size_t soundWorkers(const InformedScheduler &scheduler)
{
    std::size_t sound = 0;
    for (int i = 0; i < workerCount; ++i) {
        const auto slot = scheduler.fleet().findSlot(VmId("worker-" + std::to_string(i)));
        sound += scheduler.health().condition(*slot) == WorkerCondition::Sound ? 1 : 0;
    }
    return sound;
}

/// Blames the worker at the first failure, or the job, without weighing who else fails.
SchedulerSettings blamingAtOnce(std::size_t failedJobs, std::size_t failedWorkers)
{
    SchedulerSettings hasty = settings();
    hasty.health.failedJobsToQuarantine = failedJobs;
    hasty.health.failedWorkersToHold = failedWorkers;
    return hasty;
}

} // namespace

TEST_CASE("A bad worker is told from a bad job")
{
    rc::prop("a worker that fails everything is quarantined, and no job is held", [] {
        const std::string bad = "worker-" + std::to_string(*rc::gen::inRange(0, workerCount));
        const auto scheduler = InformedScheduler::create(settings());
        VirtualDomain domain(*scheduler, rules(), workers(workerCount, cores(8)));
        domain.setFailureRule(failsOn(bad));
        submitStream(domain, taskCount);
        RC_ASSERT(domain.decided<HoldDecision>().empty());
        RC_ASSERT(soundWorkers(*scheduler) == workerCount - 1U);
        constexpr std::size_t startsBeforeQuarantine = 20;
        RC_ASSERT(domain.startsOn(bad) <= startsBeforeQuarantine);
    });

    rc::prop("a job that fails everywhere is held, and no worker is quarantined", [] {
        const std::string bad = "task-" + std::to_string(*rc::gen::inRange(0, taskCount));
        const auto scheduler = InformedScheduler::create(settings());
        VirtualDomain domain(*scheduler, rules(), workers(workerCount, cores(8)));
        domain.setFailureRule(failsJob(bad));
        submitStream(domain, taskCount);
        const auto held = domain.decided<HoldDecision>();
        RC_ASSERT(held.size() == 1U);
        RC_ASSERT(held[0].task == TaskId(bad));
        RC_ASSERT(held[0].reason == "failed on 3 workers where other work succeeds");
        RC_ASSERT(soundWorkers(*scheduler) == static_cast<std::size_t>(workerCount));
    });

    rc::prop("a wave of bad jobs is held, and every worker is sound in the end", [] {
        const int every = *rc::gen::inRange(3, 9);
        const auto scheduler = InformedScheduler::create(settings());
        VirtualDomain domain(*scheduler, rules(), workers(workerCount, cores(8)));
        domain.setFailureRule([every](const TaskId &task, const VmId &) {
            const std::string prefix = "task-";
            return std::stoi(task.text().substr(prefix.size())) % every == 0;
        });
        submitStream(domain, taskCount);
        const std::size_t bad = (taskCount + every - 1) / every;
        RC_ASSERT(domain.decided<HoldDecision>().size() == bad);
        RC_ASSERT(soundWorkers(*scheduler) == static_cast<std::size_t>(workerCount));
    });

    SECTION("blaming the job at its first failure holds sound jobs")
    {
        const auto scheduler = InformedScheduler::create(blamingAtOnce(1000, 1));
        VirtualDomain domain(*scheduler, rules(), workers(workerCount, cores(8)));
        domain.setFailureRule(failsOn("worker-0"));
        submitStream(domain, taskCount);
        CHECK_FALSE(domain.decided<HoldDecision>().empty());
    }
    SECTION("blaming the worker at its first failure quarantines sound workers")
    {
        const auto scheduler = InformedScheduler::create(blamingAtOnce(1, 3));
        VirtualDomain domain(*scheduler, rules(), workers(workerCount, cores(8)));
        domain.setFailureRule(failsJob("task-5"));
        std::size_t fewestSound = workerCount;
        for (int i = 0; i < taskCount; ++i) {
            domain.submit(spec("task-" + std::to_string(i), cores(1)), 30);
            domain.run(1);
            fewestSound = std::min(fewestSound, soundWorkers(*scheduler));
        }
        CHECK(fewestSound < workerCount);
    }
    SECTION("first fit goes on feeding a worker that fails everything")
    {
        FirstFitScheduler scheduler(FailureDomainId("east"));
        VirtualDomain domain(scheduler, rules(), workers(workerCount, cores(8)));
        domain.setFailureRule(failsOn("worker-0"));
        submitStream(domain, taskCount);
        CHECK(domain.startsOn("worker-0") > 400);
    }
}

TEST_CASE("A quarantined worker returns by way of probation")
{
    const auto scheduler = InformedScheduler::create(settings());
    VirtualDomain domain(*scheduler, rules(), workers(workerCount, cores(8)));
    domain.setFailureRule(failsOn("worker-0"));
    submitStream(domain, taskCount);
    REQUIRE(soundWorkers(*scheduler) == workerCount - 1U);
    const auto slot = *scheduler->fleet().findSlot(VmId("worker-0"));
    domain.setFailureRule([](const TaskId &, const VmId &) { return false; });
    domain.run(700);
    CHECK(scheduler->health().condition(slot) == WorkerCondition::OnProbation);
    SECTION("where it gets one task at a time, until three have succeeded")
    {
        for (int i = 0; i < 200; ++i) {
            domain.submit(spec("later-" + std::to_string(i), cores(4)), 3);
            domain.run(1);
        }
        CHECK(scheduler->health().condition(slot) == WorkerCondition::Sound);
    }
    SECTION("where a failure sends it back")
    {
        domain.setFailureRule(failsOn("worker-0"));
        for (int i = 0; i < 60; ++i) {
            domain.submit(spec("later-" + std::to_string(i), cores(4)), 3);
            domain.run(1);
        }
        CHECK(scheduler->health().condition(slot) == WorkerCondition::Quarantined);
    }
}
