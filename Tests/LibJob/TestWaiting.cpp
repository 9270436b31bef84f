#include "JobWorld.h"
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

using namespace Jobs;

namespace {

JobSpec oneStep(const StepSpec &step, const std::string &payload = "")
{
    JobSpec spec;
    spec.payload = payload;
    spec.steps = { step };
    return spec;
}

StepSpec longRunningStep(std::int64_t milliCores)
{
    StepSpec step = SchedulerFixture::step(1, milliCores);
    step.isLongRunning = true;
    return step;
}

/// Runs the simulation while more short tasks are submitted than the workers can execute.
void runUnderShortTasks(JobWorld &world, std::int64_t forMs)
{
    constexpr std::int64_t spacingMs = 100;
    for (std::int64_t passed = 0; passed < forMs; passed += spacingMs) {
        world.submit(oneStep(SchedulerFixture::step(3, 900)));
        world.run(spacingMs);
    }
}

} // namespace

TEST_CASE("An interrupted long-running task restarts under a continuous load of short tasks")
{
    // A long-running task that is interrupted for at least this long after its last run, although
    // there is capacity for it, counts as lost.
    constexpr std::int64_t maxInterruptionMs = 6000;
    constexpr double unreachableStretch = 100;
    JobWorld world(5, {});
    world.setStretch(unreachableStretch);
    world.claim(0);
    const JobId longRunning
        = world.submit(oneStep(longRunningStep(3500), JobWorld::longRunningPayload));
    world.run(500);
    REQUIRE(world.startsOf({ longRunning, 0, 0, 0 }) == 1);
    runUnderShortTasks(world, 3000);

    std::size_t workerIndex = 0;
    while (!world.worker(workerIndex).running().contains({ longRunning, 0, 0, 0 }))
        ++workerIndex;
    world.crashWorker(workerIndex);
    runUnderShortTasks(world, 300);
    world.restartWorker(workerIndex);
    runUnderShortTasks(world, maxInterruptionMs - 300);
    CHECK(world.startsOf({ longRunning, 0, 0, 0 }) == 2);
    CHECK(world.violation().empty());
}

TEST_CASE("A job isn't blocked, despite free capacity, by a task of another job that can't start")
{
    SchedulerFixture site({ 1, 0, Core::Instant() });
    site.report(SchedulerFixture::first, {});
    site.report(SchedulerFixture::second, {});
    site.runForTwoSeconds();

    // Serving tasks on both workers, with low tail latencies at first.
    StepSpec serving = SchedulerFixture::step(2);
    serving.isLongRunning = true;
    serving.maxPerWorker = 1;
    serving.tailTargetMs = 20;
    serving.image = "serving";
    site.report(SchedulerFixture::first, {});
    site.report(SchedulerFixture::second, {});
    site.submit(serving, "serving");
    REQUIRE(site.runForTwoSeconds().size() == 2);
    site.reportAll(5);

    StepSpec bestEffort = SchedulerFixture::step(3);
    bestEffort.isBestEffort = true;
    bestEffort.image = "filler";
    site.submit(bestEffort, "moving");
    REQUIRE(site.runForTwoSeconds().size() == 3);

    // Now the tail latencies of the serving tasks reach the target, and one of the best-effort
    // tasks of the job `moving`, whose others keep running, has to start again. Nothing of the job
    // `standing` runs yet.
    site.endTask({ JobId("moving"), 0, 0, 0 }, EndKind::Failed);
    site.reportAll(20);
    site.submit(bestEffort, "standing");
    const std::vector<StartCommand> starts = site.runForTwoSeconds();
    REQUIRE_FALSE(starts.empty());
    for (const StartCommand &start : starts)
        CHECK(start.task.job == JobId("standing"));
}

TEST_CASE("A worker that was unreachable gets tasks again")
{
    SchedulerFixture site({ 1, 0, Core::Instant() });
    site.report(SchedulerFixture::first, {});
    site.report(SchedulerFixture::second, {});
    site.runForTwoSeconds();
    StepSpec step = SchedulerFixture::step(2, 3000);
    step.isLongRunning = true;
    site.report(SchedulerFixture::first, {});
    site.report(SchedulerFixture::second, {});
    site.submit(step);
    REQUIRE(site.runForTwoSeconds().size() == 2);

    SECTION("even if it has no runs left")
    {
        site.partition(SchedulerFixture::second);
        CHECK(site.runForTwoSeconds().empty());
        CHECK(site.isRenewalDue(SchedulerFixture::second));
        site.report(SchedulerFixture::second, {});
        const std::vector<StartCommand> starts = site.runForTwoSeconds();
        REQUIRE(starts.size() == 1);
        CHECK(starts.front().worker == SchedulerFixture::second);
    }
}

TEST_CASE("An owner that runs late requests reports less often, but renews leases in time")
{
    using std::chrono::milliseconds;
    const SchedulerSettings settings;
    SchedulerFixture site({ 1, 0, Core::Instant() });

    const auto renewalInterval = [&site] {
        return site.scheduler().renewalInterval(
            *site.scheduler().findWorker(SchedulerFixture::first));
    };
    const auto noteLag = [&site](milliseconds lag, int times) {
        for (int i = 0; i < times; ++i)
            site.scheduler().setLag(lag);
    };

    SECTION("a lag that comes and goes with the periods of a processor quota has no effect")
    {
        for (int i = 0; i < 10; ++i) {
            site.scheduler().setLag(milliseconds(90));
            CHECK(renewalInterval() == settings.renewalInterval);
            site.scheduler().setLag(milliseconds(0));
            CHECK(renewalInterval() == settings.renewalInterval);
        }
    }
    SECTION("a lag that stays increases the renewal interval")
    {
        noteLag(milliseconds(60), 2);
        CHECK(renewalInterval() > settings.renewalInterval);
        const Core::Duration interval = renewalInterval();
        noteLag(milliseconds(300), 2);
        CHECK(renewalInterval() > interval);
    }
    SECTION("with any lag a lease is renewed several times before it expires")
    {
        noteLag(std::chrono::seconds(30), 2);
        CHECK(3 * (renewalInterval() + settings.renewalWait) < settings.lease);
    }
    SECTION("the interval returns to normal when the lag ends")
    {
        noteLag(std::chrono::seconds(30), 2);
        noteLag(milliseconds(0), 1);
        CHECK(renewalInterval() == settings.renewalInterval);
    }
}
