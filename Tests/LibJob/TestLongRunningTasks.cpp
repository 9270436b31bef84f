#include "JobWorld.h"
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <random>
#include <string>

using namespace Jobs;

namespace {

/// A long-running task that is interrupted for longer after its last run, although there is
/// capacity for it, counts as lost.
constexpr std::int64_t maxInterruptionMs = 6000;
/// How long the nodes take to notice that the owner is gone, and to claim the jobs.
constexpr std::int64_t takeoverMs = 1700;

JobSpec shortTasks(int count, std::int64_t milliCores)
{
    JobSpec spec;
    spec.steps = { SchedulerFixture::step(count, milliCores) };
    return spec;
}

JobSpec longRunningTasks(int count, std::int64_t milliCores, int maxPerWorker = 0)
{
    JobSpec spec;
    spec.payload = JobWorld::longRunningPayload;
    StepSpec step = SchedulerFixture::step(count, milliCores);
    step.isLongRunning = true;
    step.maxPerWorker = maxPerWorker;
    spec.steps = { step };
    return spec;
}

/// A site of which the short tasks that are submitted all the time could fill twice the capacity,
/// and are never late.
class FullSite
{
public:
    explicit FullSite(std::uint32_t seed, std::size_t workerCount = 4)
        : m_world(seed, {}, DisabledGuard::None, lifeWith(workerCount))
    {
        constexpr double unreachableStretch = 100;
        m_world.setStretch(unreachableStretch);
        m_world.claim(0);
    }

    JobWorld &world() { return m_world; }
    void run(std::int64_t forMs)
    {
        constexpr std::int64_t spacingMs = 100;
        for (std::int64_t passed = 0; passed < forMs; passed += spacingMs) {
            for (std::size_t i = 0; i < m_workerCount; i += 4)
                m_world.submit(shortTasks(3, 900));
            m_world.run(std::min(spacingMs, forMs - passed));
        }
    }
    std::size_t workerOf(const TaskName &task)
    {
        std::size_t index = 0;
        while (!m_world.worker(index).running().contains(task))
            ++index;
        return index;
    }

private:
    WorkerLife lifeWith(std::size_t workerCount)
    {
        m_workerCount = workerCount;
        WorkerLife life;
        life.workerCount = workerCount;
        return life;
    }

    std::size_t m_workerCount = 0;
    JobWorld m_world;
};

} // namespace

TEST_CASE("A long-running task is back in time on a full site", "[long-running]")
{
    const auto seed = GENERATE(range(1U, 4U));

    SECTION("though its owner dies shortly after its worker")
    {
        const auto laterMs = GENERATE(0, 100, 1500);
        CAPTURE(seed, laterMs);
        FullSite site(seed);
        const TaskName task { site.world().submit(longRunningTasks(1, 3500)), 0, 0, 0 };
        site.world().run(500);
        REQUIRE(site.world().awayMs(task) == 0);
        site.run(3000);

        const std::size_t worker = site.workerOf(task);
        site.world().crashWorker(worker);
        site.run(laterMs);
        site.world().kill(0);
        site.run(takeoverMs);
        site.world().restartWorker(worker);
        site.world().claim(1);
        site.run(maxInterruptionMs - takeoverMs - laterMs);
        CHECK(site.world().startsOf(task) == 2);
        CHECK(site.world().violation() == std::string());
    }
    SECTION("with all others of its step that ran on the same workers")
    {
        CAPTURE(seed);
        constexpr int tasks = 12;
        FullSite site(seed, 64);
        const JobId job = site.world().submit(longRunningTasks(tasks, 3500));
        site.world().run(500);
        site.run(3000);
        for (int i = 0; i < tasks; ++i) {
            const std::size_t worker = site.workerOf({ job, 0, 0, i });
            site.world().crashWorker(worker);
            site.world().restartWorker(worker);
        }
        site.run(maxInterruptionMs);
        for (int i = 0; i < tasks; ++i)
            CHECK(site.world().awayMs({ job, 0, 0, i }) == 0);
        CHECK(site.world().violation() == std::string());
    }
    SECTION("though the workers with the most room run as many of its step as they may")
    {
        CAPTURE(seed);
        FullSite site(seed, 4);
        // Beside a task of the step, short tasks leave 700 thousandths of a core; elsewhere 400.
        const JobId job = site.world().submit(longRunningTasks(3, 1500, 1));
        site.world().run(500);
        site.run(3000);
        const TaskName task { job, 0, 0, 0 };
        const std::size_t worker = site.workerOf(task);
        site.world().crashWorker(worker);
        site.world().restartWorker(worker);
        site.run(maxInterruptionMs);
        CHECK(site.world().awayMs(task) == 0);
        CHECK(site.world().violation() == std::string());
    }
    SECTION("though it is suspected of having crashed its worker")
    {
        CAPTURE(seed);
        FullSite site(seed);
        const TaskName task { site.world().submit(longRunningTasks(1, 3500)), 0, 0, 0 };
        while (site.world().awayMs(task) > 0 || site.world().startsOf(task) == 0)
            site.world().run(10);
        const std::size_t worker = site.workerOf(task);
        site.world().run(30);
        site.run(100);
        site.world().crashWorker(worker);
        site.world().restartWorker(worker);
        site.run(maxInterruptionMs);
        CHECK(site.world().awayMs(task) == 0);
        CHECK(site.world().violation() == std::string());
    }
    SECTION("though its worker was lost without a trace, so that its lease had to expire")
    {
        CAPTURE(seed);
        constexpr std::int64_t leaseMs = 6300;
        constexpr std::int64_t shortTaskMs = 1500;
        FullSite site(seed);
        const TaskName task { site.world().submit(longRunningTasks(1, 3500)), 0, 0, 0 };
        site.world().run(500);
        site.run(3000);
        site.world().crashWorker(site.workerOf(task));
        site.run(leaseMs + shortTaskMs + 500);
        CHECK(site.world().awayMs(task) == 0);
        CHECK(site.world().violation() == std::string());
    }
}

TEST_CASE("A worker that has left doesn't keep the tasks of its jobs waiting after a takeover",
          "[long-running]")
{
    const auto seed = GENERATE(range(1U, 4U));
    CAPTURE(seed);
    WorkerLife life;
    life.workerCount = 8;
    JobWorld world(seed, {}, DisabledGuard::None, life);
    world.claim(0);
    const JobId job = world.submit(longRunningTasks(8, 500, 1));
    world.run(3000);
    REQUIRE(world.runningCount() == 8);
    world.drainWorker(0);
    world.run(3000);
    world.removeWorker(0);
    world.run(10'000);

    SECTION("when the owner has released the jobs")
    {
        world.release(0);
        world.run(300);
    }
    SECTION("when the owner has died")
    {
        world.kill(0);
        world.run(takeoverMs);
    }
    world.claim(1);
    world.run(500);
    world.crashWorker(1);
    world.restartWorker(1);
    world.run(2000);
    CHECK(world.runningCount() == 7);
    CHECK(world.violation() == std::string());
}
