#include "JobWorld.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace Jobs;

namespace {

constexpr std::uint32_t seeds = 15;
constexpr std::uint32_t deathSeeds = 5;

WorkerLife manyWorkers(bool returnsUnderNewId)
{
    WorkerLife life;
    life.workerCount = 12;
    life.returnsUnderNewId = returnsUnderNewId;
    life.refusesCallsWhileDown = true;
    return life;
}

/// A site that is kept busy by jobs without a crashing task, while others hold one.
class BusySite
{
public:
    BusySite(std::uint32_t seed, const WorkerLife &life, const FaultRates &faults = {})
        : m_world(seed, faults, DisabledGuard::None, life)
    {
        m_world.claim(0);
    }

    JobWorld &world() { return m_world; }
    void submitCrashing(const std::vector<int> &widths,
                        const std::string &payload = JobWorld::crashingPayload)
    {
        m_crashing.push_back(m_world.submit(simulatedJob(widths, payload)));
    }
    void submitLongRunning(int width)
    {
        m_longRunning.push_back(
            m_world.submit(simulatedJob({ width }, JobWorld::longRunningPayload)));
    }
    /// Four jobs without a crashing task begin each second.
    void runBusy(int seconds)
    {
        for (int i = 0; i < 4 * seconds; ++i) {
            m_innocent.push_back(m_world.submit(simulatedJob({ 4, 3 })));
            m_world.run(250);
        }
    }

    /// Runs for 20 s at most.
    void runUntilNextCrash()
    {
        const int crashes = mostCrashes();
        for (int i = 0; i < 2000 && mostCrashes() == crashes; ++i)
            m_world.run(10);
    }
    int mostCrashes() const
    {
        int most = 0;
        for (const JobId &id : m_crashing)
            most = std::max(most, m_world.crashesOf({ id, 0, 0, 0 }));
        return most;
    }
    bool areCrashingGivenUp() const { return areAll(m_crashing, JobState::Failed); }
    bool areInnocentCompleted() const { return areAll(m_innocent, JobState::Completed); }
    bool areLongRunningKept() const { return areAll(m_longRunning, JobState::Running); }

private:
    bool areAll(const std::vector<JobId> &jobs, JobState state) const
    {
        return std::all_of(jobs.begin(), jobs.end(),
                           [&](const JobId &id) { return m_world.state(id) == state; });
    }

    JobWorld m_world;
    std::vector<JobId> m_crashing;
    std::vector<JobId> m_innocent;
    std::vector<JobId> m_longRunning;
};

/// The first owner is killed shortly after a crash.
struct OwnerDeath
{
    bool returnsUnderNewId = false;
    /// Crashes until the owner is killed.
    int crashes = 1;
    int afterCrashMs = 0;
    /// Time until another node is the owner.
    int vacancyMs = 0;
};

void killOwner(BusySite &site, const OwnerDeath &death)
{
    for (int i = 0; i < death.crashes; ++i)
        site.runUntilNextCrash();
    site.world().run(death.afterCrashMs);
    site.world().kill(0);
    site.world().run(death.vacancyMs);
    site.world().claim(1);
}

void checkEnd(std::uint32_t seed, BusySite &site, int maxCrashes)
{
    INFO("seed " << seed << ": " << site.world().violation());
    CHECK(site.mostCrashes() <= maxCrashes);
    CHECK(site.areCrashingGivenUp());
    CHECK(site.areInnocentCompleted());
    CHECK(site.areLongRunningKept());
    REQUIRE(site.world().violation().empty());
}

void checkOwnerDeath(const OwnerDeath &death, int maxCrashes)
{
    for (std::uint32_t seed = 1; seed <= deathSeeds; ++seed) {
        BusySite site(seed, manyWorkers(death.returnsUnderNewId));
        site.submitLongRunning(8);
        site.runBusy(1);
        site.submitCrashing({ 3 });
        killOwner(site, death);
        site.runBusy(15);
        site.world().run(20'000);
        checkEnd(seed, site, maxCrashes);
    }
}

/// A job with a crashing task begins each second; the owner is killed while there are \p jobs.
void checkOwnerDeathAmongSeveral(const OwnerDeath &death, int jobs, int maxCrashes)
{
    for (std::uint32_t seed = 1; seed <= deathSeeds; ++seed) {
        BusySite site(seed, manyWorkers(death.returnsUnderNewId));
        site.submitLongRunning(8);
        site.runBusy(1);
        for (int i = 1; i <= 5; ++i) {
            site.submitCrashing({ 3 });
            site.runBusy(1);
            if (i == jobs)
                killOwner(site, death);
        }
        site.runBusy(12);
        site.world().run(30'000);
        checkEnd(seed, site, maxCrashes);
    }
}

} // namespace

TEST_CASE("A task that crashes each worker that starts it is given up", "[crashes]")
{
    const bool returnsUnderNewId = GENERATE(false, true);
    const WorkerLife life = manyWorkers(returnsUnderNewId);
    INFO("workers return under a new ID: " << returnsUnderNewId);

    SECTION("after two crashes if no other run could be the cause")
    {
        BusySite site(1, life);
        site.world().run(1000);
        site.submitCrashing({ 1 });
        site.world().run(30'000);
        CHECK(site.mostCrashes() == 2);
        CHECK(site.areCrashingGivenUp());
        CHECK(site.world().violation().empty());
    }
    SECTION("after three crashes at most on a busy site, which completes all other jobs")
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            BusySite site(seed, life);
            site.submitLongRunning(8);
            site.runBusy(2);
            for (int i = 0; i < 3; ++i) {
                site.submitCrashing({ 3, 2 });
                site.runBusy(1);
            }
            site.runBusy(20);
            site.world().run(20'000);
            INFO("seed " << seed << ": " << site.world().violation());
            CHECK(site.mostCrashes() <= 3);
            CHECK(site.areCrashingGivenUp());
            CHECK(site.areInnocentCompleted());
            CHECK(site.areLongRunningKept());
            REQUIRE(site.world().violation().empty());
        }
    }
    SECTION("also if it is one of tasks that don't end by themselves")
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            BusySite site(seed, life);
            site.runBusy(1);
            site.submitCrashing({ 4 }, JobWorld::longRunningCrashingPayload);
            site.runBusy(20);
            site.world().run(20'000);
            INFO("seed " << seed << ": " << site.world().violation());
            CHECK(site.mostCrashes() <= 3);
            CHECK(site.areCrashingGivenUp());
            REQUIRE(site.world().violation().empty());
        }
    }
    SECTION("after five crashes at most if it crashes its workers only after a while")
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            WorkerLife slow = life;
            slow.crashDelayMs = 700;
            BusySite site(seed, slow);
            site.runBusy(1);
            site.submitCrashing({ 4 }, JobWorld::longRunningCrashingPayload);
            site.runBusy(20);
            site.world().run(30'000);
            INFO("seed " << seed << ": " << site.world().violation());
            CHECK(site.mostCrashes() <= 5);
            CHECK(site.areCrashingGivenUp());
            REQUIRE(site.world().violation().empty());
        }
    }
    SECTION("after five crashes at most among waves of crashes")
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            BusySite site(seed, life);
            site.runBusy(1);
            site.submitCrashing({ 3 });
            for (int wave = 0; wave < 6; ++wave) {
                site.runBusy(4);
                site.world().crashWorkers(0.2);
            }
            site.world().run(30'000);
            INFO("seed " << seed << ": " << site.world().violation());
            CHECK(site.mostCrashes() <= 5);
            CHECK(site.areCrashingGivenUp());
            REQUIRE(site.world().violation().empty());
        }
    }
    SECTION("also if each owner dies shortly after a crash")
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            BusySite site(seed, life);
            site.runBusy(1);
            site.submitCrashing({ 3 });
            for (std::size_t owner = 0; owner < 6 && !site.areCrashingGivenUp(); ++owner) {
                site.runUntilNextCrash();
                site.world().run(300);
                site.world().kill(owner % JobWorld::nodeCount);
                site.world().run(2000);
                site.world().claim((owner + 1) % JobWorld::nodeCount);
            }
            site.world().run(20'000);
            INFO("seed " << seed << ": " << site.world().violation());
            CHECK(site.mostCrashes() <= 4);
            CHECK(site.areCrashingGivenUp());
            REQUIRE(site.world().violation().empty());
        }
    }
    SECTION("also if several owners die in a row")
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            BusySite site(seed, life);
            site.runBusy(1);
            site.submitCrashing({ 3 });
            for (std::size_t owner = 0; owner < 6; ++owner) {
                site.runBusy(2 + static_cast<int>(seed % 4));
                site.world().kill(owner % JobWorld::nodeCount);
                site.world().run(2000);
                site.world().claim((owner + 1) % JobWorld::nodeCount);
            }
            site.world().run(60'000);
            INFO("seed " << seed << ": " << site.world().violation());
            CHECK(site.areCrashingGivenUp());
            CHECK(site.areInnocentCompleted());
            REQUIRE(site.world().violation().empty());
        }
    }
}

TEST_CASE("No job is given up for crashes that others cause", "[crashes]")
{
    const bool returnsUnderNewId = GENERATE(false, true);
    const WorkerLife life = manyWorkers(returnsUnderNewId);
    INFO("workers return under a new ID: " << returnsUnderNewId);
    const int wavesApartMs = GENERATE(1000, 3700, 4000, 6000);

    SECTION("in waves of crashes with no crashing task")
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            BusySite site(seed, life);
            site.submitLongRunning(8);
            site.runBusy(2);
            for (int wave = 0; wave < 4; ++wave) {
                site.world().crashWorkers(0.4);
                site.runBusy(1);
                site.world().run(wavesApartMs - 1000);
            }
            site.world().run(30'000);
            INFO("seed " << seed << ": " << site.world().violation());
            CHECK(site.areInnocentCompleted());
            CHECK(site.areLongRunningKept());
            REQUIRE(site.world().violation().empty());
        }
    }
    SECTION("while others are crashed by tasks")
    {
        for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
            BusySite site(seed, life);
            site.submitLongRunning(8);
            site.runBusy(2);
            site.submitCrashing({ 3 });
            for (int wave = 0; wave < 3; ++wave) {
                site.runBusy(3);
                site.world().crashWorkers(0.3);
                site.world().run(wavesApartMs);
            }
            site.world().run(40'000);
            INFO("seed " << seed << ": " << site.world().violation());
            CHECK(site.areInnocentCompleted());
            CHECK(site.areLongRunningKept());
            REQUIRE(site.world().violation().empty());
        }
    }
}

TEST_CASE("No job is given up for workers that were only silent", "[crashes]")
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        BusySite site(seed, manyWorkers(false));
        site.submitLongRunning(8);
        for (int wave = 0; wave < 6; ++wave) {
            site.runBusy(2);
            for (std::size_t worker = 0; worker < 12; worker += 3)
                site.world().partitionWorker(0, (worker + seed) % 12, 9000);
            site.runBusy(9);
        }
        site.world().run(30'000);
        INFO("seed " << seed << ": " << site.world().violation());
        CHECK(site.areInnocentCompleted());
        CHECK(site.areLongRunningKept());
        REQUIRE(site.world().violation().empty());
    }
}

TEST_CASE("A task that crashes its workers is given up although its owner is killed", "[crashes]")
{
    OwnerDeath death;
    death.returnsUnderNewId = GENERATE(false, true);
    // The next owner begins before or after the crashed worker is back.
    death.vacancyMs = GENERATE(1000, 4000);
    INFO("workers return under a new ID: " << death.returnsUnderNewId);
    INFO("ms without an owner: " << death.vacancyMs);

    SECTION("after three crashes at most if the first one is recorded")
    {
        death.afterCrashMs = GENERATE(300, 500, 1500);
        INFO("ms from the first crash until the owner is killed: " << death.afterCrashMs);
        checkOwnerDeath(death, 3);
    }
    SECTION("also if the second one isn't")
    {
        death.crashes = 2;
        death.afterCrashMs = GENERATE(0, 30, 100, 200);
        INFO("ms from the second crash until the owner is killed: " << death.afterCrashMs);
        checkOwnerDeath(death, 3);
    }
    SECTION("after four at most if the first one isn't, since no record shows it to anybody")
    {
        death.afterCrashMs = GENERATE(0, 30, 100, 200);
        INFO("ms from the first crash until the owner is killed: " << death.afterCrashMs);
        checkOwnerDeath(death, 4);
    }
    SECTION("after five, as many as may be, among others of its kind")
    {
        const int jobs = GENERATE(2, 3, 4);
        death.afterCrashMs = GENERATE(0, 40, 300);
        INFO("jobs with such a task: " << jobs);
        INFO("ms from a crash until the owner is killed: " << death.afterCrashMs);
        checkOwnerDeathAmongSeveral(death, jobs, 5);
    }
}
