#include "JobWorld.h"
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace Jobs;

namespace {

/// No invariant is violated.
const std::string none;
/// How long the nodes take to notice that the owner is gone, and to claim the jobs.
constexpr std::int64_t takeoverMs = 1700;

JobSpec longRunningTasks(int count, int maxPerWorker)
{
    JobSpec spec;
    spec.payload = JobWorld::longRunningPayload;
    StepSpec step = SchedulerFixture::step(count, 500);
    step.isLongRunning = true;
    step.maxPerWorker = maxPerWorker;
    spec.steps = { step };
    return spec;
}

std::size_t workerOf(JobWorld &world, const TaskName &task)
{
    std::size_t index = 0;
    while (!world.worker(index).running().contains(task))
        ++index;
    return index;
}

int runningAmong(JobWorld &world, const JobId &job, int firstTask, int lastTask)
{
    int running = 0;
    for (int i = firstTask; i <= lastTask; ++i)
        running += world.startsOf({ job, 0, 0, i }) > 0 && world.awayMs({ job, 0, 0, i }) == 0;
    return running;
}

/// All that can go wrong at once while the store is away from time to time.
FaultRates troubleWithStore()
{
    FaultRates faults;
    faults.lostAnswer = 0.03;
    faults.delayedCommand = 0.03;
    faults.delayedRenewal = 0.03;
    faults.workerCrash = 0.1;
    faults.workerPartition = 0.6;
    faults.storePartition = 0.3;
    faults.freeze = 0.2;
    faults.maxFaultMs = 9000;
    return faults;
}

} // namespace

TEST_CASE("After a takeover a task waits only for workers on which it may run itself",
          "[takeovers]")
{
    const auto seed = GENERATE(range(1U, 4U));
    CAPTURE(seed);
    WorkerLife life;
    life.workerCount = 16;
    JobWorld world(seed, {}, DisabledGuard::None, life);
    world.claim(0);

    SECTION("not one that was never started")
    {
        constexpr std::size_t idle = 8;
        for (std::size_t i = 0; i < idle; ++i)
            world.crashWorker(i);
        const JobId job = world.submit(longRunningTasks(64, 4));
        world.run(5000);
        REQUIRE(runningAmong(world, job, 0, 31) == 32);
        REQUIRE(runningAmong(world, job, 32, 63) == 0);
        world.crashWorker(workerOf(world, { job, 0, 0, 0 }));
        world.kill(0);
        world.run(takeoverMs);
        // The other half of the workers comes back with the next owner.
        for (std::size_t i = 0; i < idle; ++i)
            world.restartWorker(i);
        world.claim(1);
        world.run(2000);
        CHECK(runningAmong(world, job, 32, 63) == 32);
        CHECK(world.violation() == none);
    }
    SECTION("nor one that the new owner has seen running")
    {
        const JobId job = world.submit(longRunningTasks(6, 1));
        world.run(3000);
        const std::size_t lost = workerOf(world, { job, 0, 0, 0 });
        const std::size_t other = workerOf(world, { job, 0, 0, 1 });
        world.crashWorker(lost);
        world.kill(0);
        world.run(takeoverMs);
        world.claim(1);
        world.run(500);
        world.crashWorker(other);
        world.restartWorker(other);
        world.run(1500);
        CHECK(world.awayMs({ job, 0, 0, 1 }) == 0);
        CHECK(world.violation() == none);
    }
}

TEST_CASE("A long-running task is back within 9 s, whenever its owner is lost beside its worker",
          "[takeovers]")
{
    constexpr std::int64_t allowedMs = 9000;
    const auto laterMs = GENERATE(-2000, -1000, -300, 0, 100, 400, 800, 1200, 1600, 2000, 3000,
                                  4000, 5000, 6000, 7000);
    const auto isRefused = GENERATE(true, false);
    const auto maxLeaseMs = GENERATE(6000, 10'000);
    const auto seed = GENERATE(range(1U, 4U));
    CAPTURE(seed, laterMs, isRefused, maxLeaseMs);
    WorkerLife life;
    life.workerCount = 12;
    life.refusesCallsWhileDown = isRefused;
    life.maxLeaseMs = maxLeaseMs;
    JobWorld world(seed, {}, DisabledGuard::None, life);
    world.claim(0);
    const TaskName task { world.submit(longRunningTasks(8, 1)), 0, 0, 0 };
    world.run(3000 + 170 * seed);
    const std::size_t worker = workerOf(world, task);
    const std::int64_t ownerLostAtMs = world.nowMs() + 50 + std::max(0, laterMs);
    const std::int64_t workerLostAtMs = world.nowMs() + 50 + std::max(0, -laterMs);
    // Tasks whose start no report has shown yet.
    world.submit(simulatedJob({ 24 }));
    world.run(50);
    while (world.nowMs() < workerLostAtMs + allowedMs) {
        if (world.nowMs() == workerLostAtMs)
            world.crashWorker(worker);
        if (world.nowMs() == ownerLostAtMs)
            world.kill(0);
        if (world.nowMs() == ownerLostAtMs + takeoverMs)
            world.claim(1);
        world.run(10);
    }
    CHECK(world.awayMs(task) == 0);
    CHECK(world.violation() == none);
}

TEST_CASE("Running tasks survive an outage of the store", "[takeovers]")
{
    const auto seed = GENERATE(range(1U, 4U));
    // Less than the time for which leases last after a proof by the interval between proofs and the
    // time of an append.
    constexpr std::int64_t outageMs = 6000;
    CAPTURE(seed);
    JobWorld world(seed, {});
    world.claim(0);
    const JobId job = world.submit(longRunningTasks(8, 0));
    world.run(3000 + 130 * seed);
    for (std::size_t node = 0; node < JobWorld::nodeCount; ++node)
        world.partitionStore(node, outageMs);
    world.run(outageMs + 10'000);
    for (int i = 0; i < 8; ++i)
        CHECK(world.startsOf({ job, 0, 0, i }) == 1);
    CHECK(world.violation() == none);
}

TEST_CASE("No task runs twice though owners change while the store is away, workers are cut off "
          "and commands come late",
          "[takeovers]")
{
    constexpr std::uint32_t seeds = 150;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        WorkerLife life;
        life.workerCount = 6;
        life.refusesCallsWhileDown = seed % 2 == 0;
        JobWorld world(seed, troubleWithStore(), DisabledGuard::None, life);
        world.claim(0);
        world.submit(longRunningTasks(6, 1));
        for (std::size_t round = 0; round < 4; ++round) {
            world.submit(simulatedJob({ 4, 3 }));
            world.run(3000);
            for (std::size_t node = 0; node < JobWorld::nodeCount; ++node)
                world.partitionStore(node, 2000 + 1000 * (seed % 8));
            world.run(12'000);
            world.claim((round + 1) % JobWorld::nodeCount);
        }
        INFO("seed " << seed << ": " << world.violation());
        REQUIRE(world.violation() == none);
    }
}
