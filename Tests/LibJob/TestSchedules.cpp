#include "JobWorld.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

using namespace Jobs;

namespace {

constexpr std::int64_t minuteMs = 60'000;
/// More than any worker of a simulation has.
constexpr std::int64_t tooManyMilliCores = 64'000;
/// The earliest time that simulations reach; everything that was due before is due at once.
constexpr std::int64_t startMs = 1'000'000;

/// A job of which \p count times are due since the beginning of a simulation.
JobSpec pastSchedule(std::int64_t count, std::int64_t milliCores = 500, int tasks = 1)
{
    JobSpec spec = simulatedJob({ tasks });
    spec.steps.front().need.milliCores = milliCores;
    spec.repeatCount = count;
    spec.firstDueUnixMs = startMs - count * minuteMs;
    spec.intervalMs = minuteMs;
    return spec;
}

/// No invariant is violated.
const std::string none;

/// All tasks take 1,500 ms.
WorkerLife equalTasks()
{
    WorkerLife life;
    life.minTaskMs = 1500;
    return life;
}

/// Submits jobs of one short task, and returns how many of them are completed 6 s later.
int completedAmong(JobWorld &world, int count)
{
    std::vector<JobId> jobs;
    for (int i = 0; i < count; ++i) {
        jobs.push_back(world.submit(simulatedJob({ 1 })));
        world.run(100);
    }
    world.run(6000);
    return static_cast<int>(std::count_if(jobs.begin(), jobs.end(), [&world](const JobId &id) {
        return world.state(id) == JobState::Completed;
    }));
}

/// The largest record of progress that a job may need, in bytes.
constexpr std::size_t fewBytes = 4096;

} // namespace

// Guards against LOST: a job with many due times made the owner begin all of them at once, so that
// its passes, its memory and the job's record grew with them, and no other job started.
TEST_CASE("A job keeps no other one waiting, however many of its times are due", "[schedules]")
{
    constexpr int ordinaryJobs = 20;
    const std::int64_t count = GENERATE(1, 1000, 100'000, 525'600, 1'000'000'000);
    const std::int64_t milliCores = GENERATE(500, tooManyMilliCores);
    CAPTURE(count, milliCores);
    JobWorld world(1, {});
    world.claim(0);
    world.run(100);
    const JobId id = world.submit(pastSchedule(count, milliCores));
    world.run(1000);
    CHECK(completedAmong(world, ordinaryJobs) == ordinaryJobs);
    CHECK(world.violation().empty());
    CHECK(world.waitingCount() <= OwnedJob::maxIdleOccurrences);
    CHECK(world.mostPlanningWork() <= JobScheduler::maxPlanningWork);
    CHECK(world.largestProgressBytes() <= fewBytes);

    SECTION("is cancelled at once")
    {
        world.cancel(id);
        world.run(1000);
        CHECK(world.state(id)
              == (count == 1 && milliCores == 500 ? JobState::Completed : JobState::Cancelled));
        CHECK(world.runningCount() == 0);
    }
    SECTION("nor at the next owner")
    {
        world.kill(0);
        world.claim(1);
        world.run(1000);
        CHECK(completedAmong(world, ordinaryJobs) == ordinaryJobs);
        CHECK(world.violation().empty());
        CHECK(world.largestProgressBytes() <= fewBytes);
    }
}

TEST_CASE("A hundred such jobs, some of which fit no worker, keep no other one waiting",
          "[schedules]")
{
    constexpr int ordinaryJobs = 20;
    JobWorld world(1, {});
    world.claim(0);
    world.run(100);
    for (int i = 0; i < 100; ++i)
        world.submit(pastSchedule(1'000'000'000, i % 2 == 0 ? 500 : tooManyMilliCores));
    world.run(1000);
    CHECK(completedAmong(world, ordinaryJobs) == ordinaryJobs);
    CHECK(world.mostPlanningWork() <= JobScheduler::maxPlanningWork);
    CHECK(world.waitingCount() <= 100 * OwnedJob::maxIdleOccurrences);
}

TEST_CASE("All times of a job run once, in the order in which they are due", "[schedules]")
{
    constexpr int count = 600;
    constexpr std::size_t runningAtATime = 32;
    JobWorld world(1, {}, DisabledGuard::None, equalTasks());
    world.claim(0);
    world.run(100);
    const JobId id = world.submit(pastSchedule(count));
    world.run(1200);
    CHECK(world.runningCount() == runningAtATime);
    world.run(40'000);
    REQUIRE(world.state(id) == JobState::Completed);
    std::int64_t last = 0;
    for (int occurrence = 0; occurrence < count; ++occurrence) {
        const TaskName task { id, occurrence, 0, 0 };
        CHECK(world.startsOf(task) == 1);
        CHECK(world.firstStartOf(task) + 50 >= last);
        last = std::max(last, world.firstStartOf(task));
    }
    CHECK(world.largestProgressBytes() <= fewBytes);
    CHECK(world.violation().empty());
}

TEST_CASE("Times that aren't due wait until they are", "[schedules]")
{
    JobWorld world(1, {});
    world.claim(0);
    JobSpec spec = simulatedJob({ 2 });
    spec.repeatCount = 3;
    spec.firstDueUnixMs = startMs + 2000;
    spec.intervalMs = 2000;
    const JobId id = world.submit(spec);
    world.run(9000);
    REQUIRE(world.state(id) == JobState::Completed);
    for (int occurrence = 0; occurrence < 3; ++occurrence) {
        const std::int64_t due = spec.dueUnixMs(occurrence);
        CHECK(world.firstStartOf({ id, occurrence, 0, 1 }) >= due);
        CHECK(world.firstStartOf({ id, occurrence, 0, 1 }) <= due + 500);
    }
}

TEST_CASE("Times of a job that overlap run beside each other", "[schedules]")
{
    JobWorld world(1, {}, DisabledGuard::None, equalTasks());
    world.claim(0);
    const JobId id = world.submit(pastSchedule(10, 500, 3));
    world.run(600);
    CHECK(world.runningCount() == 30);
    world.run(6000);
    CHECK(world.state(id) == JobState::Completed);
}

TEST_CASE("Times of a job whose tasks need workers of their own run beside each other",
          "[schedules]")
{
    JobWorld world(1, {}, DisabledGuard::None, equalTasks());
    world.claim(0);
    // Each time has four tasks at work, and each of the four workers has room for eight.
    JobSpec spec = pastSchedule(20, 500, 8);
    spec.steps.front().maxPerWorker = 1;
    const JobId id = world.submit(spec);
    world.run(600);
    CHECK(world.runningCount() == 32);
    world.run(20'000);
    CHECK(world.state(id) == JobState::Completed);
    CHECK(world.violation().empty());
}

TEST_CASE("A long-running job at several times runs all of them", "[schedules]")
{
    JobWorld world(1, {});
    world.claim(0);
    JobSpec spec = simulatedJob({ 2 }, JobWorld::longRunningPayload);
    spec.repeatCount = 8;
    spec.firstDueUnixMs = startMs;
    const JobId id = world.submit(spec);
    world.run(3000);
    CHECK(world.runningCount() == 16);
    world.kill(0);
    world.claim(1);
    world.run(12'000);
    CHECK(world.runningCount() == 16);
    for (int occurrence = 0; occurrence < 8; ++occurrence)
        CHECK(world.startsOf({ id, occurrence, 0, 1 }) == 1);
    CHECK(world.violation().empty());
}

// The next owner knows of the times that had begun only by their runs and by what is recorded.
TEST_CASE("No time of a job runs twice, whoever owns it and whatever is cut, lost or late",
          "[schedules]")
{
    FaultRates faults;
    faults.lostAnswer = 0.03;
    faults.delayedCommand = 0.02;
    faults.workerCrash = 0.05;
    faults.workerPartition = 0.4;
    faults.storePartition = 0.2;
    faults.claim = 0.3;
    faults.failedRun = 0.02;
    faults.maxFaultMs = 9000;
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        INFO("seed " << seed);
        JobWorld world(seed, faults);
        world.claim(0);
        world.submit(pastSchedule(120), 10);
        world.submit(pastSchedule(40, 500, 2), 10);
        world.run(20'000);
        REQUIRE(world.violation() == none);
        world.stopFaults();
        world.claim(0);
        world.run(60'000);
        REQUIRE(world.violation() == none);
        CHECK(world.areAllOver());
    }
}

TEST_CASE("A new owner that can't reach a worker doesn't begin all due times at once either",
          "[schedules]")
{
    JobWorld world(1, {}, DisabledGuard::None, equalTasks());
    world.claim(0);
    world.submit(pastSchedule(1'000'000'000));
    world.run(3000);
    // The next owner can't learn what the first worker ran.
    world.kill(0);
    world.claim(1);
    world.partitionWorker(1, 0, 60'000);
    world.run(20'000);
    CHECK(world.violation().empty());
    // Tasks that end together have no successors for a moment: a mean of seven eighths.
    constexpr std::size_t samples = 150;
    std::size_t mostRunning = 0;
    std::size_t sumOfRunning = 0;
    for (std::size_t i = 0; i < samples; ++i) {
        world.run(10);
        mostRunning = std::max(mostRunning, world.runningCount());
        sumOfRunning += world.runningCount();
    }
    CHECK(mostRunning == 24);
    CHECK(sumOfRunning >= samples * 21);
    CHECK(world.violation().empty());
    CHECK(world.waitingCount() <= OwnedJob::maxIdleOccurrences);
    CHECK(world.largestProgressBytes() <= fewBytes);
}

TEST_CASE("Due times that can't be represented are bounded", "[schedules]")
{
    constexpr std::int64_t highest = std::numeric_limits<std::int64_t>::max();
    JobSpec spec;
    spec.repeatCount = JobSpec::maxRepeatCount;
    spec.firstDueUnixMs = 1000;
    spec.intervalMs = highest;
    CHECK(spec.dueUnixMs(0) == 1000);
    CHECK(spec.dueUnixMs(1) > 1'000'000'000'000'000);
    CHECK(spec.dueUnixMs(999'999'999) == spec.dueUnixMs(1));
    spec.firstDueUnixMs = highest;
    spec.intervalMs = 1;
    CHECK(spec.dueUnixMs(0) == spec.dueUnixMs(5));

    JobWorld world(1, {});
    world.claim(0);
    JobSpec far = simulatedJob({ 1 });
    far.repeatCount = JobSpec::maxRepeatCount;
    far.firstDueUnixMs = startMs;
    far.intervalMs = highest;
    const JobId id = world.submit(far);
    world.run(3000);
    CHECK(world.startsOf({ id, 0, 0, 0 }) == 1);
    CHECK(world.startsOf({ id, 1, 0, 0 }) == 0);
    CHECK(world.violation().empty());
}
