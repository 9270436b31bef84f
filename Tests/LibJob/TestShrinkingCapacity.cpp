#include "JobWorld.h"
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace Jobs;

namespace {

constexpr std::uint32_t seeds = 60;

WorkerLife slowlyStoppingWorkers(bool guardsCapacity)
{
    WorkerLife life;
    life.workerCount = 6;
    life.guardsCapacity = guardsCapacity;
    life.stopTakesMs = 400;
    return life;
}

/// Capacity that changes every second on some worker.
FaultRates changingCapacity()
{
    FaultRates faults;
    faults.capacityChange = 1.5;
    return faults;
}

/// Capacity that changes while starts aren't answered, runs hang and owners change.
FaultRates changingCapacityAmongFaults()
{
    FaultRates faults = changingCapacity();
    faults.lostAnswer = 0.05;
    faults.delayedCommand = 0.03;
    faults.workerPartition = 0.2;
    faults.storePartition = 0.2;
    faults.claim = 0.3;
    faults.hangingRun = 0.02;
    faults.maxFaultMs = 4000;
    return faults;
}

/// Keeps more tasks waiting than the site can hold, and cancels every third job.
void runFull(JobWorld &world)
{
    world.claim(0);
    for (int i = 0; i < 60; ++i) {
        const JobId id = world.submit(simulatedJob({ 6, 4 }));
        world.run(300);
        if (i % 3 == 0)
            world.cancel(id);
        world.run(200);
    }
}

} // namespace

TEST_CASE("No start overfills a worker whose capacity shrinks")
{
    const bool guardsCapacity = GENERATE(false, true);
    INFO("workers guard their capacity: " << guardsCapacity);

    SECTION("while one owner starts and stops tasks")
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            JobWorld world(seed, changingCapacity(), DisabledGuard::None,
                           slowlyStoppingWorkers(guardsCapacity));
            runFull(world);
            INFO("seed " << seed << ": " << world.violation());
            REQUIRE(world.violation().empty());
        }
    }
    SECTION("nor while owners are replaced and starts aren't answered")
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            JobWorld world(seed, changingCapacityAmongFaults(), DisabledGuard::None,
                           slowlyStoppingWorkers(guardsCapacity));
            runFull(world);
            INFO("seed " << seed << ": " << world.violation());
            REQUIRE(world.violation().empty());
        }
    }
    SECTION("and all jobs end once it stays")
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            JobWorld world(seed, changingCapacity(), DisabledGuard::None,
                           slowlyStoppingWorkers(guardsCapacity));
            runFull(world);
            world.stopFaults();
            for (std::size_t worker = 0; worker < 6; ++worker)
                world.setCapacity(worker, 4000);
            world.run(60'000);
            INFO("seed " << seed << ": " << world.violation());
            REQUIRE(world.violation().empty());
            CHECK(world.areAllOver());
        }
    }
}

TEST_CASE("A run that was planned isn't sent once the capacity of its worker has shrunk")
{
    const bool isGang = GENERATE(false, true);
    INFO("the tasks are a gang: " << isGang);
    SchedulerFixture owner({ 1, 0, Core::Instant() });
    owner.report(SchedulerFixture::first, {});
    owner.report(SchedulerFixture::second, {});
    owner.runForTwoSeconds();
    StepSpec step = SchedulerFixture::step(2, 3000);
    step.isGang = isGang;
    owner.submit(step);
    owner.plan();
    owner.setCapacity(SchedulerFixture::first, 2000);

    const std::vector<StartCommand> starts = owner.runForTwoSeconds();
    REQUIRE(starts.size() == (isGang ? 0 : 1));
    for (const StartCommand &start : starts)
        CHECK(start.worker == SchedulerFixture::second);

    SECTION("and is planned again once it has grown")
    {
        owner.setCapacity(SchedulerFixture::first, 4000);
        CHECK(owner.runForTwoSeconds().size() == (isGang ? 2 : 1));
    }
}

TEST_CASE("A new owner leaves room for runs that it stops")
{
    SchedulerFixture owner({ 2, 1, Core::Instant(std::chrono::minutes(1)) });
    owner.setCapacity(SchedulerFixture::second, 0);
    owner.submit(SchedulerFixture::step(1, 3000));

    SECTION("also if it doesn't know what they request")
    {
        const TaskName unknown { JobId("deleted"), 0, 0, 0 };
        owner.report(SchedulerFixture::first, {}, { { unknown, 1, "", 10, 500 } });
        CHECK(owner.runForTwoSeconds().empty());
        owner.report(SchedulerFixture::first, {});
        CHECK(owner.runForTwoSeconds().size() == 1);
    }
}
