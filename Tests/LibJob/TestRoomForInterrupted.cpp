#include "JobWorld.h"
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

using namespace Jobs;

namespace {

/// No invariant is violated.
const std::string none;

/// A site that long-running tasks of many sizes nearly fill. Short tasks, some of which fail, wait
/// for every gap between them.
class CrowdedSite
{
public:
    explicit CrowdedSite(std::uint32_t seed)
        : m_random(seed)
        , m_world(seed, failingRuns(), DisabledGuard::None, life())
    {
        constexpr double unreachableStretch = 100;
        constexpr std::int64_t longRunningMilliCores = workerCount * 4000 * 8 / 10;
        m_world.setStretch(unreachableStretch);
        m_world.claim(0);
        std::int64_t requested = 0;
        while (requested < longRunningMilliCores)
            requested += submitLongRunning();
        m_world.run(startMs);
        run(settlingMs);
    }

    JobWorld &world() { return m_world; }

    /// Crashes the given part of the workers for good.
    void loseWorkers(double share)
    {
        for (std::size_t i = 0; i < workerCount; ++i) {
            if (m_world.worker(i).isUp() && chance(share))
                m_world.crashWorker(i);
        }
    }

    void run(std::int64_t forMs)
    {
        constexpr std::int64_t spacingMs = 100;
        for (std::int64_t passed = 0; passed < forMs && m_world.violation().empty();
             passed += spacingMs) {
            while (m_world.waitingCount() < backlog)
                submitShort();
            m_world.run(spacingMs);
        }
    }

private:
    static constexpr std::size_t workerCount = 40;
    /// Long-running tasks start before there are short ones.
    static constexpr std::int64_t startMs = 2000;
    static constexpr std::int64_t settlingMs = 4000;
    /// More tasks than the workers have room for.
    static constexpr std::size_t backlog = 60;

    static FaultRates failingRuns()
    {
        FaultRates faults;
        faults.failedRun = 0.15;
        return faults;
    }
    static WorkerLife life()
    {
        WorkerLife life;
        life.workerCount = workerCount;
        life.refusesCallsWhileDown = true;
        life.guardsCapacity = true;
        return life;
    }
    int between(int min, int max) { return std::uniform_int_distribution<int>(min, max)(m_random); }
    bool chance(double probability) { return between(1, 1000) <= 1000 * probability; }

    /// Returns the processors that the job requests, in thousandths of a core.
    std::int64_t submitLongRunning()
    {
        JobSpec spec;
        spec.payload = JobWorld::longRunningPayload;
        StepSpec step = SchedulerFixture::step(between(3, 10), 100 * between(5, 13));
        step.isLongRunning = true;
        step.maxPerWorker = between(0, 1) * 2;
        spec.steps = { step };
        m_world.submit(spec);
        return step.taskCount * step.need.milliCores;
    }

    void submitShort()
    {
        constexpr int attempts = 3;
        JobSpec spec;
        spec.steps = { SchedulerFixture::step(between(2, 12), 50 * between(6, 20)) };
        m_world.submit(spec, attempts);
    }

    std::mt19937 m_random;
    JobWorld m_world;
};

/// Workers of which each but the empty ones runs a long-running task of another job that nearly
/// fills it.
class FilledSite
{
public:
    explicit FilledSite(std::size_t emptyWorkers)
        : m_world(1, {}, DisabledGuard::None, lifeWith(filledWorkers + emptyWorkers))
    {
        m_world.claim(0);
        for (std::size_t i = 0; i < filledWorkers; ++i)
            m_tasks.push_back(submitLongRunning());
        constexpr std::int64_t startMs = 2000;
        m_world.run(startMs);
    }

    JobWorld &world() { return m_world; }
    const std::vector<TaskName> &tasks() const { return m_tasks; }
    TaskName submitLongRunning()
    {
        constexpr std::int64_t milliCores = 3000;
        JobSpec spec;
        spec.payload = JobWorld::longRunningPayload;
        StepSpec step = SchedulerFixture::step(1, milliCores);
        step.isLongRunning = true;
        spec.steps = { step };
        return { m_world.submit(spec), 0, 0, 0 };
    }
    /// Crashes the worker of the task for good.
    void loseWorkerOf(const TaskName &task)
    {
        std::size_t index = 0;
        while (!m_world.worker(index).running().contains(task))
            ++index;
        m_world.crashWorker(index);
    }

private:
    static constexpr std::size_t filledWorkers = 3;

    static WorkerLife lifeWith(std::size_t workerCount)
    {
        WorkerLife life;
        life.workerCount = workerCount;
        life.refusesCallsWhileDown = true;
        return life;
    }

    JobWorld m_world;
    std::vector<TaskName> m_tasks;
};

} // namespace

static void checkSites(std::uint32_t firstSeed, std::uint32_t lastSeed)
{
    constexpr double lostShare = 0.12;
    constexpr std::int64_t backMs = 16'000;
    for (std::uint32_t seed = firstSeed; seed <= lastSeed; ++seed) {
        CrowdedSite site(seed);
        site.loseWorkers(lostShare);
        site.run(backMs);
        INFO("seed " << seed);
        CHECK(site.world().violation() == none);
    }
}

TEST_CASE("No long-running task whose wait is over stays away from workers that the page counts as "
          "having room",
          "[room]")
{
    constexpr std::uint32_t seeds = 12;
    checkSites(1, seeds);
}

TEST_CASE("A long-running task that has never run, while another one is interrupted", "[room]")
{
    // The last lease of the interrupted task ends soon, so capacity is looked for already.
    constexpr std::int64_t leaseEndsSoonMs = 5200;
    constexpr std::int64_t startMs = 500;
    constexpr std::int64_t backMs = 6000;

    SECTION("The site is full")
    {
        FilledSite site(0);
        const TaskName interrupted = site.tasks()[0];
        site.loseWorkerOf(interrupted);
        const TaskName neverRun = site.submitLongRunning();
        site.world().run(leaseEndsSoonMs);
        REQUIRE(site.world().awayMs(interrupted) >= leaseEndsSoonMs);

        SECTION("What another job leaves then is kept for the interrupted task")
        {
            site.world().cancel(site.tasks()[1].job);
            site.world().run(backMs);
            CHECK(site.world().awayMs(interrupted) == 0);
            CHECK(site.world().startsOf(neverRun) == 0);

            SECTION("The other one gets what is left after that")
            {
                site.world().cancel(site.tasks()[2].job);
                site.world().run(backMs);
                CHECK(site.world().awayMs(interrupted) == 0);
                CHECK(site.world().startsOf(neverRun) == 1);
            }
        }
        SECTION("Nothing is kept for a task whose job is cancelled")
        {
            site.world().cancel(interrupted.job);
            site.world().cancel(site.tasks()[1].job);
            site.world().run(backMs);
            CHECK(site.world().startsOf(neverRun) == 1);
        }
    }
    SECTION("The site is full, and the last lease ends only seconds later")
    {
        FilledSite site(0);
        const TaskName interrupted = site.tasks()[0];
        site.loseWorkerOf(interrupted);
        const TaskName neverRun = site.submitLongRunning();
        site.world().run(startMs);
        site.world().cancel(site.tasks()[1].job);
        site.world().run(2 * backMs);
        CHECK(site.world().awayMs(interrupted) == 0);
        CHECK(site.world().startsOf(neverRun) == 0);
    }
    SECTION("Two workers are empty, so nothing is held back")
    {
        FilledSite site(2);
        site.loseWorkerOf(site.tasks()[0]);
        site.world().run(leaseEndsSoonMs);
        const TaskName neverRun = site.submitLongRunning();
        site.world().run(startMs);
        CHECK(site.world().startsOf(neverRun) == 1);
        site.world().run(backMs);
        CHECK(site.world().awayMs(site.tasks()[0]) == 0);
    }
}

TEST_CASE("Crowded sites with other seeds", "[.room]")
{
    // Run: JOB_WORLD_SEED=13 JOB_WORLD_SEEDS=200 TestLibJob "[.room]"
    const char *first = std::getenv("JOB_WORLD_SEED");
    const char *count = std::getenv("JOB_WORLD_SEEDS");
    const auto firstSeed = static_cast<std::uint32_t>(std::stoul(first ? first : "1"));
    const auto seeds = static_cast<std::uint32_t>(std::stoul(count ? count : "1"));
    checkSites(firstSeed, firstSeed + seeds - 1);
}
