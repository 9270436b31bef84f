#include "JobWorld.h"
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace Jobs;

namespace {

JobSpec jobWithEstimate(std::int64_t estimateMs)
{
    JobSpec spec = simulatedJob({ 3 });
    spec.steps.front().estimateMs = estimateMs;
    return spec;
}

WorkerLife tasksOf(std::int64_t taskMs)
{
    WorkerLife life;
    life.minTaskMs = taskMs;
    life.maxTaskMs = taskMs;
    return life;
}

} // namespace

/// Guards against tasks that are stopped again and again, and never end, since their progress in
/// whole percents stands still for longer than a short task's may (review/7).
TEST_CASE("A task that takes long ends, although its progress changes seldom",
          "[known-red][!shouldfail]")
{
    constexpr std::int64_t tenMinutesMs = 600'000;

    SECTION("in one run if its estimate is right")
    {
        JobWorld world(1, {}, DisabledGuard::None, tasksOf(tenMinutesMs));
        world.claim(0);
        const JobId id = world.submit(jobWithEstimate(tenMinutesMs));
        world.run(tenMinutesMs + 20'000);
        CHECK(world.state(id) == JobState::Completed);
        CHECK(world.startsOf({ id, 0, 0, 0 }) == 1);
        CHECK(world.violation().empty());
    }
    SECTION("also if its estimate is less than a hundredth of its time")
    {
        JobWorld world(1, {}, DisabledGuard::None, tasksOf(tenMinutesMs));
        world.claim(0);
        const JobId id = world.submit(jobWithEstimate(800));
        world.run(tenMinutesMs + 60'000);
        CHECK(world.state(id) == JobState::Completed);
        CHECK(world.startsOf({ id, 0, 0, 0 }) <= 4);
        CHECK(world.violation().empty());
    }
}

/// Guards against a longer wait for short tasks that stand still.
TEST_CASE("A short task that stands still is stopped and started elsewhere within 4 s")
{
    FaultRates faults;
    faults.hangingRun = 1;
    JobWorld world(1, faults);
    world.claim(0);
    const JobId id = world.submit(simulatedJob({ 1 }));
    world.run(1000);
    REQUIRE(world.startsOf({ id, 0, 0, 0 }) == 1);
    world.stopFaults();
    world.run(4000);
    CHECK(world.startsOf({ id, 0, 0, 0 }) == 2);
    world.run(5000);
    CHECK(world.state(id) == JobState::Completed);
}
