#include "ColocationSimulation.h"
#include "SchedulerFixture.h"

#include <LibJob/ThrottleController.h>

#include <catch2/catch.hpp>

#include <cmath>
#include <numbers>

using namespace Jobs;
using std::chrono::milliseconds;

namespace {

/// Totals of three simulations.
struct Outcome
{
    double bestEffortWork = 0;
    double wastedWork = 0;
    double secondsOverTarget = 0;
    double longestOverTarget = 0;
};

/// Results of the former policy, which stopped best-effort tasks beside serving tasks above their
/// targets, in the same simulations.
constexpr Outcome formerPolicy { 2505, 973, 1057, 2.4 };
/// A serving task may be continuously above its target because of best-effort tasks for less than
/// this.
constexpr double maxSecondsOverTarget = 4;

Outcome simulate(ColocationSimulation::Tails tails)
{
    constexpr double jobsPerSecond = 3;
    Outcome outcome;
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        ColocationSimulation simulation(seed, tails);
        simulation.run(5, 0);
        simulation.run(40, jobsPerSecond);
        outcome.bestEffortWork += simulation.bestEffortWork();
        outcome.wastedWork += simulation.wastedWork();
        outcome.secondsOverTarget += simulation.secondsOverTarget();
        outcome.longestOverTarget
            = std::max(outcome.longestOverTarget, simulation.longestOverTarget());
    }
    return outcome;
}

constexpr ImageIndex serving = 0;
constexpr ImageIndex lightImage = 1;
constexpr ImageIndex heavyImage = 2;
const Core::Instant beginTime(std::chrono::seconds(100));

ColocatedTask servingTask(double tailRatio, Core::Instant reportedAt)
{
    ColocatedTask colocated;
    colocated.name = { JobId("serving"), 0, 0, 0 };
    colocated.image = serving;
    colocated.share = 0.5;
    colocated.tailRatio = tailRatio;
    colocated.reportedAt = reportedAt;
    return colocated;
}

ColocatedTask bestEffortTask(ImageIndex image, double share)
{
    ColocatedTask colocated;
    colocated.name = { JobId("filling"), 0, 0, static_cast<int>(image) };
    colocated.image = image;
    colocated.isBestEffort = true;
    colocated.share = share;
    colocated.usedShare = share;
    return colocated;
}

constexpr double idleTailRatio = 0.22;

double tailRatioAt(double load, double slowdown)
{
    return idleTailRatio / (1 - std::min(0.98, load * slowdown));
}

/// A controller that has observed both best-effort images beside a serving task with this load.
ThrottleController trainedController(double load)
{
    ThrottleController controller;
    Core::Instant now = beginTime;
    for (int i = 0; i < 200; ++i) {
        now += milliseconds(200);
        const double heavyShare = i % 3 == 0 ? 0.05 : 0;
        const double lightShare = i % 2 == 0 ? 0.1 : 0;
        const double slowdown = 1 + 6 * heavyShare + 0.5 * lightShare;
        controller.observe({ servingTask(tailRatioAt(load, slowdown), now),
                             bestEffortTask(lightImage, lightShare),
                             bestEffortTask(heavyImage, heavyShare) },
                           {}, now);
    }
    return controller;
}

constexpr Core::Duration learningTime = milliseconds(200 * 200);

} // namespace

TEST_CASE("Best-effort tasks use the processors that serving tasks leave")
{
    const Outcome outcome = simulate(ColocationSimulation::Tails::True);
    const Outcome unaware = simulate(ColocationSimulation::Tails::Hidden);

    SECTION("they complete a third more work than under the policy that stopped them")
    {
        CHECK(outcome.bestEffortWork > formerPolicy.bestEffortWork * 4 / 3);
    }
    SECTION("they lose less than a third of the work that policy lost")
    {
        CHECK(outcome.wastedWork < formerPolicy.wastedWork / 3);
    }
    SECTION(
        "serving tasks are above their targets for less time, and never for long without a break")
    {
        CHECK(outcome.secondsOverTarget < formerPolicy.secondsOverTarget);
        CHECK(outcome.longestOverTarget < maxSecondsOverTarget);
        CHECK(unaware.longestOverTarget > maxSecondsOverTarget);
        CHECK(unaware.secondsOverTarget > 4 * outcome.secondsOverTarget);
    }
}

TEST_CASE("Best-effort tasks are throttled as far as the serving tasks on the worker require")
{
    const Core::Instant now = beginTime + learningTime;

    SECTION("at a low load none is throttled")
    {
        const ThrottleController controller = trainedController(0.25);
        CHECK(controller.throttlePercents(
                  { servingTask(tailRatioAt(0.25, 1), now), bestEffortTask(heavyImage, 0.1) }, now)
              == std::vector<int> { 100, 100 });
    }
    SECTION("at a high load the one with more interference is throttled, whatever the order")
    {
        const ThrottleController controller = trainedController(0.6);
        const std::vector<int> throttlePercents = controller.throttlePercents(
            { servingTask(tailRatioAt(0.6, 1), now), bestEffortTask(heavyImage, 0.2),
              bestEffortTask(lightImage, 0.2) },
            now);
        CHECK(throttlePercents[1] < 60);
        CHECK(throttlePercents[2] == 100);
    }
    SECTION("beside a task that has been above its target for long all are throttled to 0 percent")
    {
        const ThrottleController controller = trainedController(0.25);
        ColocatedTask over = servingTask(1.2, now);
        over.overTargetSince = now - milliseconds(1600);
        CHECK(controller.throttlePercents({ over, bestEffortTask(lightImage, 0.01) }, now)
              == std::vector<int> { 100, 0 });
    }
    SECTION("without serving tasks none is throttled, whatever the model has learned")
    {
        const ThrottleController controller = trainedController(0.6);
        CHECK(controller.throttlePercents({ bestEffortTask(heavyImage, 0.9) }, now)
              == std::vector<int> { 100 });
    }
}

TEST_CASE("The load of an oscillating serving job is predicted")
{
    constexpr double priorLoad = 0.45;
    constexpr double readingVariance = 0.0005;
    const auto loadAt = [](Core::Instant when) {
        const double seconds = std::chrono::duration<double>(when - beginTime).count();
        return 0.42 * (1 + 0.5 * std::sin(2 * std::numbers::pi * seconds / 10));
    };
    LoadPredictor load;

    SECTION("before the first reading the prior load is predicted")
    {
        CHECK(load.predict(beginTime, priorLoad).load == priorLoad);
    }
    SECTION("the prediction is accurate 300 ms ahead")
    {
        for (int i = 0; i < 150; ++i) {
            const Core::Instant now = beginTime + milliseconds(100 * i);
            load.observe({ loadAt(now), readingVariance }, now);
            const Core::Instant ahead = now + milliseconds(300);
            if (i > 20)
                CHECK(std::abs(load.predict(ahead, priorLoad).load - loadAt(ahead)) < 0.06);
        }
    }
    SECTION("without new readings the prediction returns to the prior load, and its variance grows")
    {
        for (int i = 0; i < 50; ++i)
            load.observe({ 0.2, readingVariance }, beginTime + milliseconds(100 * i));
        const Core::Instant last = beginTime + milliseconds(4900);
        CHECK(load.predict(last, priorLoad).load < 0.25);
        CHECK(load.predict(last + std::chrono::seconds(6), priorLoad).load > 0.4);
        CHECK(load.predict(last + std::chrono::seconds(6), priorLoad).variance
              > load.predict(last, priorLoad).variance);
    }
}

TEST_CASE("A best-effort task is throttled to 0 percent beside a serving task that stays above its "
          "target")
{
    Ownership ownership;
    ownership.token = 1;
    SchedulerFixture site(ownership);
    site.report(SchedulerFixture::first, {});
    site.report(SchedulerFixture::second, {});
    site.runForTwoSeconds();
    StepSpec servingStep = SchedulerFixture::step(2, 3000);
    servingStep.isLongRunning = true;
    servingStep.image = "serving";
    servingStep.tailTargetMs = 20;
    site.report(SchedulerFixture::first, {});
    site.report(SchedulerFixture::second, {});
    site.submit(servingStep, "serving");
    site.runForTwoSeconds();
    site.reportAll(5);
    StepSpec bestEffortStep = SchedulerFixture::step(1);
    bestEffortStep.isBestEffort = true;
    bestEffortStep.image = "filling";
    site.submit(bestEffortStep);
    REQUIRE(site.runForTwoSeconds().size() == 1);
    site.reportAll(40);
    CHECK(site.throttles().empty());
    site.runForTwoSeconds();
    REQUIRE(!site.throttles().empty());
    CHECK(site.throttles().back().percent == 0);
    const std::size_t throttlesSent = site.throttles().size();

    SECTION("the command is repeated if it failed")
    {
        site.scheduler().onThrottleFailed(site.throttles().back());
        site.runForTwoSeconds();
        CHECK(site.throttles().size() == throttlesSent + 1);
        CHECK(site.throttles().back().percent == 0);
    }
    SECTION("the throttle is released once the tail latency has fallen")
    {
        site.reportAll(5);
        site.runForTwoSeconds();
        CHECK(site.throttles().back().percent == 100);
    }
    SECTION("a new owner, which doesn't know the throttle in force, sends even 100 percent")
    {
        ownership.token = 2;
        ownership.term = 1;
        ownership.formerLeasesEndAt = Core::Instant(std::chrono::seconds(1000));
        SchedulerFixture next(ownership);
        next.takeOver(site);
        next.runForTwoSeconds();
        const ThrottleCommand &last = site.throttles().back();
        next.report(last.worker, {}, { { last.task, last.run, "", 50, 0 } });
        next.runForTwoSeconds();
        REQUIRE(next.throttles().size() == 1);
        CHECK(next.throttles().back().percent == 100);
    }
}
