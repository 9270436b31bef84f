#include "JobWorld.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <random>
#include <string>

using namespace Jobs;

namespace {

constexpr std::uint32_t seeds = 300;
/// No invariant is violated.
const std::string none;

/// Workers whose processes follow one another under one ID, while calls to them are under way. The
/// tasks are short enough to end before the owner learns of the new process.
WorkerLife quickRestarts()
{
    WorkerLife life;
    life.workerCount = 2;
    life.getsCallsOfFormerProcess = true;
    life.listedAfterMs = 1500;
    life.minTaskMs = 20;
    return life;
}

/// Workers that also grant longer leases than the owner asks for.
WorkerLife quickRestartsWithLongLeases()
{
    WorkerLife life = quickRestarts();
    life.maxLeaseMs = 10'000;
    return life;
}

FaultRates lostAnswers()
{
    FaultRates faults;
    faults.lostAnswer = 0.05;
    return faults;
}

/// Workers also leave calls unanswered and carry them out late.
FaultRates lateCalls()
{
    FaultRates faults = lostAnswers();
    faults.delayedCommand = 0.1;
    faults.delayedRenewal = 0.1;
    return faults;
}

/// The owner also loses contact with workers.
FaultRates partitions()
{
    FaultRates faults = lostAnswers();
    faults.workerPartition = 0.4;
    faults.maxFaultMs = 12'000;
    return faults;
}

/// Callers submit small jobs all the time, while one worker is restarted twice. More crashes,
/// or crashes in quick succession let innocent jobs be given up as crashing ones.
void restartTwice(JobWorld &world, std::uint32_t seed)
{
    std::mt19937 random(seed);
    const auto between = [&random](std::int64_t min, std::int64_t max) {
        return std::uniform_int_distribution<std::int64_t>(min, max)(random);
    };
    const auto submitFor = [&world](std::int64_t milliseconds) {
        constexpr std::int64_t spacingMs = 50;
        for (std::int64_t passed = 0; passed < milliseconds; passed += spacingMs) {
            world.submit(simulatedJob({ 1 }));
            world.run(spacingMs);
        }
    };
    world.claim(0);
    for (int i = 0; i < 2; ++i) {
        submitFor(between(2500, 4500));
        world.crashWorker(0);
        submitFor(between(10, 1200));
        world.restartWorker(0);
    }
    submitFor(1500);
    world.run(6000);
}

/// A worker restarts while long-running tasks run on it, and is cut off some seconds later.
void cutOffAfterRestart(JobWorld &world, std::uint32_t seed)
{
    std::mt19937 random(seed);
    const auto between = [&random](std::int64_t min, std::int64_t max) {
        return std::uniform_int_distribution<std::int64_t>(min, max)(random);
    };
    world.claim(0);
    world.submit(simulatedJob({ 8 }, JobWorld::longRunningPayload));
    // Longer than any lease, so that a deadline on the former clock is far off on the next one.
    world.run(25'000);
    world.crashWorker(0);
    world.run(between(10, 800));
    world.restartWorker(0);
    world.run(between(2500, 9000));
    world.partitionWorker(0, 0, 20'000);
    world.run(20'000);
}

/// Returns the violated invariant, or that the jobs don't end once the faults stop.
std::string violationIn(std::uint32_t seed, const FaultRates &faults, const WorkerLife &life)
{
    JobWorld world(seed, faults, DisabledGuard::None, life);
    restartTwice(world, seed);
    world.stopFaults();
    world.claim(0);
    world.run(30'000);
    if (world.violation().empty() && !world.areAllOver())
        return "jobs don't end";
    return world.violation();
}

/// Returns in how many simulations an invariant is violated.
int countViolations(const FaultRates &faults, void (*scenario)(JobWorld &, std::uint32_t),
                    DisabledGuard disabledGuard)
{
    int count = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        JobWorld world(seed, faults, disabledGuard, quickRestartsWithLongLeases());
        scenario(world, seed);
        count += world.violation().empty() ? 0 : 1;
    }
    return count;
}

/// A worker restarts twice within a second of a takeover, while starts of the former owner are on
/// their way to it. Returns in how many simulations an invariant is violated.
int countViolationsAfterTwoRestarts(DisabledGuard disabledGuard)
{
    int violations = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        JobWorld world(seed, {}, disabledGuard, quickRestarts());
        world.claim(0);
        world.run(500);
        world.crashWorker(0);
        world.submit(simulatedJob({ 8 }, JobWorld::longRunningPayload));
        world.run(60);
        world.claim(1);
        world.restartWorker(0);
        world.run(150);
        world.crashWorker(0);
        world.run(150);
        world.restartWorker(0);
        world.run(3000);
        violations += world.violation().empty() ? 0 : 1;
    }
    return violations;
}

} // namespace

// Guards against TWICE: an acknowledgement, a start or a lease that was meant for a former process
// of a worker takes effect in the next one, so that tasks that are done run again, or run twice.
TEST_CASE("No task runs twice when a worker's processes follow one another under its ID",
          "[restarts]")
{
    SECTION("while calls to it are under way")
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            INFO("seed " << seed);
            CHECK(violationIn(seed, lostAnswers(), quickRestarts()) == none);
        }
    }
    SECTION("while calls to it are carried out late")
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            INFO("seed " << seed);
            CHECK(violationIn(seed, lateCalls(), quickRestarts()) == none);
        }
    }
    SECTION("while it is cut off, and grants longer leases than the owner asks for")
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            INFO("seed " << seed);
            CHECK(violationIn(seed, partitions(), quickRestartsWithLongLeases()) == none);
        }
    }
}

TEST_CASE("Where commands reach a worker's next process, each other safety mechanism is necessary",
          "[guards]")
{
    SECTION("acknowledgements that reach whichever process is there")
    {
        CHECK(countViolations(lostAnswers(), restartTwice, DisabledGuard::AcknowledgedProcess) > 0);
        CHECK(countViolations(lostAnswers(), restartTwice, DisabledGuard::BoundCommands) == 0);
    }
    SECTION("the same token for the next process")
    {
        CHECK(countViolations(lateCalls(), cutOffAfterRestart, DisabledGuard::ProcessToken) > 0);
        CHECK(countViolations(lateCalls(), cutOffAfterRestart, DisabledGuard::BoundCommands) == 0);
        CHECK(countViolations(lateCalls(), cutOffAfterRestart, DisabledGuard::None) == 0);
    }
}

// Guards against TWICE: a start of the former owner that is still on its way reaches the second
// process after the one that has answered the next owner, which has started the task elsewhere.
TEST_CASE("No task runs twice when a worker restarts twice right after a takeover", "[restarts]")
{
    CHECK(countViolationsAfterTwoRestarts(DisabledGuard::None) == 0);
    CHECK(countViolationsAfterTwoRestarts(DisabledGuard::BoundCommands) > 0);
}

TEST_CASE("A simulation with restarting workers for one seed, for manual tracing",
          "[.replay-restarts]")
{
    // Run: JOB_WORLD_TRACE=1 JOB_WORLD_SEED=7 TestLibJob "[.replay-restarts]"
    const char *text = std::getenv("JOB_WORLD_SEED");
    const auto seed = static_cast<std::uint32_t>(std::stoul(text ? text : "1"));
    CHECK(violationIn(seed, lostAnswers(), quickRestarts()) == none);
    CHECK(violationIn(seed, lateCalls(), quickRestarts()) == none);
    CHECK(violationIn(seed, partitions(), quickRestartsWithLongLeases()) == none);
}
