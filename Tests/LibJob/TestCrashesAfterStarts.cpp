#include "JobWorld.h"
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace Jobs;

namespace {

constexpr std::uint32_t seeds = 5;
constexpr std::size_t workerCount = 10;
/// The users' bound: a long-running task counts as lost if it hasn't run for 6 s, and for 3 s more
/// in which workers have room for it.
constexpr std::int64_t longestAbsenceMs = 6000 + 3000;
/// A crash of several workers that is spread over this time has no common cause.
constexpr std::int64_t crashesApartMs = 1200;

JobSpec longRunningJob(int tasks, const std::string &payload = JobWorld::longRunningPayload)
{
    JobSpec spec;
    spec.payload = payload;
    StepSpec step = SchedulerFixture::step(tasks, 100);
    step.isLongRunning = true;
    spec.steps = { step };
    return spec;
}

WorkerLife tenWorkers()
{
    WorkerLife life;
    life.workerCount = workerCount;
    life.refusesCallsWhileDown = true;
    return life;
}

/// Ten workers, on some of which long-running tasks have just been started when they crash.
class CrashedSite
{
public:
    explicit CrashedSite(std::uint32_t seed)
        : m_world(seed, {}, DisabledGuard::None, tenWorkers())
    {
        m_world.claim(0);
        m_world.run(1000);
    }

    JobWorld &world() { return m_world; }
    JobId submit(int tasks)
    {
        JobId id = m_world.submit(longRunningJob(tasks));
        for (int i = 0; i < tasks; ++i)
            m_tasks.push_back({ id, 0, 0, i });
        return id;
    }
    /// Lets a long-running task use as much as given on each worker.
    void fill(std::int64_t milliCores)
    {
        JobSpec spec;
        spec.payload = JobWorld::longRunningPayload;
        StepSpec step = SchedulerFixture::step(workerCount, milliCores);
        step.isLongRunning = true;
        step.maxPerWorker = 1;
        spec.steps = { step };
        m_world.submit(spec);
        m_world.run(8000);
    }
    /// Runs until all tasks have been started, for 1 s at most, and then for \p forMs.
    void runUntilStarted(std::int64_t forMs)
    {
        const auto isRunning = [this](const TaskName &task) { return m_world.startsOf(task) > 0; };
        for (int i = 0; i < 100 && !std::all_of(m_tasks.begin(), m_tasks.end(), isRunning); ++i)
            m_world.run(10);
        m_world.run(forMs);
    }
    /// The workers that run the most tasks.
    std::vector<std::size_t> busiestWorkers(std::size_t count)
    {
        std::vector<std::size_t> workers;
        for (std::size_t i = 0; i < workerCount; ++i)
            workers.push_back(i);
        std::stable_sort(workers.begin(), workers.end(), [this](std::size_t a, std::size_t b) {
            return m_world.worker(a).running().size() > m_world.worker(b).running().size();
        });
        workers.resize(count);
        return workers;
    }
    void crashBusiest(std::size_t count)
    {
        for (const std::size_t worker : busiestWorkers(count)) {
            m_world.crashUntilReturn(worker);
            watch(count > 1 ? crashesApartMs : 0);
        }
    }
    /// Runs for \p forMs, and notes for how long a task was away at most.
    void watch(std::int64_t forMs)
    {
        for (std::int64_t passed = 0; passed < forMs; passed += 50) {
            m_world.run(50);
            for (const TaskName &task : m_tasks)
                m_longestAwayMs = std::max(m_longestAwayMs, m_world.awayMs(task));
        }
    }
    std::int64_t longestAwayMs() const { return m_longestAwayMs; }
    bool areAllKept() const
    {
        return std::all_of(m_tasks.begin(), m_tasks.end(), [this](const TaskName &task) {
            return m_world.state(task.job) == JobState::Running && m_world.awayMs(task) == 0;
        });
    }

private:
    JobWorld m_world;
    std::vector<TaskName> m_tasks;
    std::int64_t m_longestAwayMs = 0;
};

struct CrashScenario
{
    int jobs = 1;
    int tasksPerJob = 1;
    std::size_t crashes = 1;
    std::int64_t afterMs = 0;
    /// What other long-running tasks use on each worker, of 4,000.
    std::int64_t usedMilliCores = 0;
};

void checkAllBack(std::uint32_t seed, CrashedSite &site)
{
    site.watch(25'000);
    INFO("seed " << seed << ": " << site.world().violation());
    CHECK(site.longestAwayMs() <= longestAbsenceMs);
    CHECK(site.areAllKept());
    REQUIRE(site.world().violation().empty());
}

void checkAfterCrash(const CrashScenario &scenario)
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        CrashedSite site(seed);
        if (scenario.usedMilliCores > 0)
            site.fill(scenario.usedMilliCores);
        for (int i = 0; i < scenario.jobs; ++i)
            site.submit(scenario.tasksPerJob);
        site.runUntilStarted(scenario.afterMs);
        site.crashBusiest(scenario.crashes);
        checkAllBack(seed, site);
    }
}

} // namespace

/// Guards against long-running tasks that come back one by one after their worker has crashed just
/// after their start (review/9).
TEST_CASE("Long-running tasks whose worker crashed after their start are back in time", "[crashes]")
{
    const std::int64_t afterMs = GENERATE(50, 470);
    INFO("ms from the starts to the crash: " << afterMs);

    SECTION("28 tasks of a job on one worker")
    {
        checkAfterCrash({ .jobs = 1, .tasksPerJob = 28, .crashes = 1, .afterMs = afterMs });
    }
    SECTION("112 tasks of a job on three workers")
    {
        checkAfterCrash({ .jobs = 1, .tasksPerJob = 112, .crashes = 3, .afterMs = afterMs });
    }
    SECTION("six jobs of 12 tasks on two workers")
    {
        checkAfterCrash({ .jobs = 6, .tasksPerJob = 12, .crashes = 2, .afterMs = afterMs });
    }
    SECTION("30 jobs of one task on one worker")
    {
        checkAfterCrash({ .jobs = 30, .tasksPerJob = 1, .crashes = 1, .afterMs = afterMs });
    }
    SECTION("100 jobs of one task on three workers")
    {
        checkAfterCrash({ .jobs = 100, .tasksPerJob = 1, .crashes = 3, .afterMs = afterMs });
    }
    SECTION("28 tasks of a job on two workers of a site that is half full")
    {
        checkAfterCrash({ .jobs = 1,
                          .tasksPerJob = 28,
                          .crashes = 2,
                          .afterMs = afterMs,
                          .usedMilliCores = 2000 });
    }
    SECTION("28 tasks that are crashed three times over")
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            CrashedSite site(seed);
            site.submit(28);
            site.runUntilStarted(afterMs);
            for (int i = 0; i < 3; ++i) {
                site.crashBusiest(1);
                site.watch(5000);
            }
            checkAllBack(seed, site);
        }
    }
    SECTION("28 tasks whose owner is killed beside the crash")
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            CrashedSite site(seed);
            site.submit(28);
            site.runUntilStarted(afterMs);
            site.crashBusiest(1);
            site.watch(200 * seed);
            site.world().kill(0);
            site.watch(1900);
            site.world().claim(1);
            checkAllBack(seed, site);
        }
    }
}

/// Guards against a task that crashes more workers because others are suspected beside it.
TEST_CASE("A task that crashes its workers is found among many that were started beside it",
          "[crashes]")
{
    const int neighbours = GENERATE(8, 27);
    const bool isOwnerKilled = GENERATE(false, true);
    INFO("tasks beside it: " << neighbours << ", owner killed: " << isOwnerKilled);
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        CrashedSite site(seed);
        const JobId crashing = site.world().submit(
            longRunningJob(1 + neighbours, JobWorld::longRunningCrashingPayload));
        site.submit(neighbours);
        for (int i = 0; i < neighbours; ++i)
            site.submit(1);
        site.watch(800);
        if (isOwnerKilled) {
            site.world().kill(0);
            site.watch(1900);
            site.world().claim(1);
        }
        site.watch(25'000);
        INFO("seed " << seed << ": " << site.world().violation());
        CHECK(site.world().crashesOf({ crashing, 0, 0, 0 }) <= (isOwnerKilled ? 4 : 3));
        CHECK(site.world().state(crashing) == JobState::Failed);
        CHECK(site.areAllKept());
        CHECK(site.longestAwayMs() <= longestAbsenceMs);
        REQUIRE(site.world().violation().empty());
    }
}
