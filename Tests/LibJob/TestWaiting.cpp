#include "JobWorld.h"
#include "TwoWorkers.h"

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

StepSpec lastingStep(std::int64_t milliCores)
{
    StepSpec step = TwoWorkers::step(1, milliCores);
    step.isLongRunning = true;
    return step;
}

/// Short tasks, more than the workers can take, for as long as the world runs.
void runUnderShortTasks(JobWorld &world, std::int64_t forMs)
{
    constexpr std::int64_t spacingMs = 100;
    for (std::int64_t passed = 0; passed < forMs; passed += spacingMs) {
        world.submit(oneStep(TwoWorkers::step(3, 900)));
        world.run(spacingMs);
    }
}

} // namespace

TEST_CASE("A long-running task comes back under a load of short ones that never pauses")
{
    // Its absence counts from 6 s on.
    constexpr std::int64_t longestAbsenceMs = 6000;
    constexpr double patientStretch = 100;
    JobWorld world(5, {});
    world.setStretch(patientStretch);
    world.claim(0);
    const JobId lasting = world.submit(oneStep(lastingStep(3500), JobWorld::lastingPayload));
    world.run(500);
    REQUIRE(world.startsOf({ lasting, 0, 0, 0 }) == 1);
    runUnderShortTasks(world, 3000);

    std::size_t host = 0;
    while (!world.worker(host).running().contains({ lasting, 0, 0, 0 }))
        ++host;
    world.crashWorker(host);
    runUnderShortTasks(world, 300);
    world.reviveWorker(host);
    runUnderShortTasks(world, longestAbsenceMs - 300);
    CHECK(world.startsOf({ lasting, 0, 0, 0 }) == 2);
    CHECK(world.violation().empty());
}

TEST_CASE("A job doesn't stand still beside free room because another one's task may not start")
{
    TwoWorkers site({ 1, 0, Core::Instant() });
    site.report(TwoWorkers::first, {});
    site.report(TwoWorkers::second, {});
    site.settle();

    // Serving tasks on both workers, fast at first.
    StepSpec serving = TwoWorkers::step(2);
    serving.isLongRunning = true;
    serving.mostPerWorker = 1;
    serving.tailTargetMs = 20;
    serving.image = "serving";
    site.submit(serving, "serving");
    REQUIRE(site.settle().size() == 2);
    site.reportAll(5);

    StepSpec filler = TwoWorkers::step(3);
    filler.isFiller = true;
    filler.image = "filler";
    site.submit(filler, "moving");
    REQUIRE(site.settle().size() == 3);

    // Now they are as slow as they may be, and one of the fillers has to start again.
    site.endTask({ JobId("moving"), 0, 0, 0 }, EndKind::Failed);
    site.reportAll(20);
    site.submit(filler, "standing");
    const std::vector<StartCommand> starts = site.settle();
    REQUIRE_FALSE(starts.empty());
    for (const StartCommand &start : starts)
        CHECK(start.task.job == JobId("standing"));
}

TEST_CASE("A worker that was out of reach gets tasks again")
{
    TwoWorkers site({ 1, 0, Core::Instant() });
    site.report(TwoWorkers::first, {});
    site.report(TwoWorkers::second, {});
    site.settle();
    StepSpec step = TwoWorkers::step(2, 3000);
    step.isLongRunning = true;
    site.submit(step);
    REQUIRE(site.settle().size() == 2);

    SECTION("though nothing of ours runs there any more")
    {
        site.cutOff(TwoWorkers::second);
        CHECK(site.settle().empty());
        CHECK(site.isAsked(TwoWorkers::second));
        site.report(TwoWorkers::second, {});
        const std::vector<StartCommand> starts = site.settle();
        REQUIRE(starts.size() == 1);
        CHECK(starts.front().worker == TwoWorkers::second);
    }
}

TEST_CASE("An owner that runs late asks workers less often, but renews leases in time")
{
    using std::chrono::milliseconds;
    const SchedulerSettings settings;
    TwoWorkers site({ 1, 0, Core::Instant() });

    SECTION("a lag within what a shared processor brings changes nothing")
    {
        site.scheduler().noteLag(milliseconds(90));
        CHECK(site.scheduler().renewalSpacing() == settings.renewalSpacing);
    }
    SECTION("a longer one stretches the time between renewals")
    {
        site.scheduler().noteLag(milliseconds(300));
        CHECK(site.scheduler().renewalSpacing() > settings.renewalSpacing);
    }
    SECTION("however long it is, a lease is renewed several times while it lasts")
    {
        site.scheduler().noteLag(std::chrono::seconds(30));
        CHECK(3 * (site.scheduler().renewalSpacing() + settings.renewalWait) < settings.lease);
    }
    SECTION("and it ends with the lag")
    {
        site.scheduler().noteLag(std::chrono::seconds(30));
        site.scheduler().noteLag(milliseconds(0));
        CHECK(site.scheduler().renewalSpacing() == settings.renewalSpacing);
    }
}
