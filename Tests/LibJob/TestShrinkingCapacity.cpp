#include "JobWorld.h"
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
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

/// Some workers shrink to a share of their capacity for 14 s, and for 6 s jobs come faster.
struct ShrinkingDay
{
    double shareOfWorkers = 0;
    double shareOfCapacity = 0;
    /// From the shrink to the burst; negative if the burst comes first.
    int burstAfterMs = 0;
};

/// A site at seven eighths of its capacity, beyond it while workers have shrunk in a burst.
/// Watches each start.
class ShrinkingSite
{
public:
    ShrinkingSite(std::uint32_t seed, bool guardsCapacity);

    void play(int shrinkAtMs, const ShrinkingDay &day);

    JobWorld &world() { return m_world; }
    /// Starts on workers that are over the capacity that the list shows.
    int startsOverCapacity() const { return m_startsOverCapacity; }
    /// Starts that were rejected for lack of capacity while the list showed all capacities.
    int avoidableRejections() const { return m_avoidableRejections; }
    int mostStartsOfATask() const;
    bool areAllDone() const;
    /// Steps of time with a worker that runs more than its capacity.
    int stepsOverCapacity() const { return m_stepsOverCapacity; }

private:
    struct Capacity
    {
        std::int64_t actual = wholeMilliCores;
        std::int64_t listed = wholeMilliCores;
        std::int64_t listedAtMs = 0;
    };

    void submitDue(double rate);
    void setCapacity(double shareOfWorkers, std::int64_t milliCores);
    void step();
    void watch(std::size_t index);
    bool isListKnown() const;

    static constexpr int workerCount = 12;
    static constexpr std::int64_t wholeMilliCores = 4000;
    static constexpr std::int64_t taskMilliCores = 500;
    static constexpr int stepMs = 10;
    static constexpr double jobsPerSecond = 9;
    /// A start that the owner sent before it knew the list arrives within this time.
    static constexpr std::int64_t deliveryMs = 50;

    JobWorld m_world;
    std::vector<Capacity> m_capacities { workerCount };
    std::vector<JobId> m_jobs;
    JobId m_longRunning;
    double m_due = 0;
    int m_rejections = 0;
    int m_startsOverCapacity = 0;
    int m_avoidableRejections = 0;
    int m_stepsOverCapacity = 0;
};

WorkerLife workersThat(bool guardCapacity)
{
    WorkerLife life;
    life.workerCount = 12;
    life.guardsCapacity = guardCapacity;
    return life;
}

ShrinkingSite::ShrinkingSite(std::uint32_t seed, bool guardsCapacity)
    : m_world(seed, {}, DisabledGuard::None, workersThat(guardsCapacity))
    , m_longRunning(m_world.submit(simulatedJob({ workerCount }, JobWorld::longRunningPayload)))
{
    m_world.claim(0);
}

void ShrinkingSite::play(int shrinkAtMs, const ShrinkingDay &day)
{
    const int burstAtMs = shrinkAtMs + day.burstAfterMs;
    const auto shrunk = static_cast<std::int64_t>(day.shareOfCapacity * wholeMilliCores);
    for (int atMs = 0; atMs < shrinkAtMs + 20'000; atMs += stepMs) {
        if (atMs == shrinkAtMs)
            setCapacity(day.shareOfWorkers, shrunk);
        if (atMs == shrinkAtMs + 14'000)
            setCapacity(day.shareOfWorkers, wholeMilliCores);
        submitDue(atMs >= burstAtMs && atMs < burstAtMs + 6000 ? 1.4 : 1);
        step();
    }
    for (int atMs = 0; atMs < 15'000; atMs += stepMs)
        step();
}

void ShrinkingSite::submitDue(double rate)
{
    m_due += rate * jobsPerSecond * stepMs / 1000;
    for (; m_due >= 1; m_due -= 1)
        m_jobs.push_back(m_world.submit(simulatedJob({ 6, 4 })));
}

void ShrinkingSite::setCapacity(double shareOfWorkers, std::int64_t milliCores)
{
    const auto count = static_cast<std::size_t>(shareOfWorkers * workerCount);
    for (std::size_t i = 0; i < count; ++i) {
        m_world.setCapacity(i, milliCores);
        m_capacities[i].actual = milliCores;
    }
}

void ShrinkingSite::step()
{
    m_world.run(stepMs);
    for (std::size_t i = 0; i < m_capacities.size(); ++i)
        watch(i);
    const int rejections = m_world.rejectedForCapacity();
    if (isListKnown())
        m_avoidableRejections += rejections - m_rejections;
    m_rejections = rejections;
}

void ShrinkingSite::watch(std::size_t index)
{
    const SimulatedWorker &worker = m_world.worker(index);
    Capacity &capacity = m_capacities[index];
    const std::int64_t listed = worker.info().capacity.milliCores;
    if (listed != capacity.listed)
        capacity.listedAtMs = m_world.nowMs();
    capacity.listed = listed;
    const auto used = static_cast<std::int64_t>(worker.running().size()) * taskMilliCores;
    m_stepsOverCapacity += used > capacity.actual ? 1 : 0;
    if (used <= listed || m_world.nowMs() <= capacity.listedAtMs + deliveryMs)
        return;
    m_startsOverCapacity += static_cast<int>(
        std::count_if(worker.running().begin(), worker.running().end(), [this](const auto &run) {
            return run.second.startedAtMs == m_world.nowMs();
        }));
}

bool ShrinkingSite::isListKnown() const
{
    return std::all_of(m_capacities.begin(), m_capacities.end(), [this](const Capacity &capacity) {
        return capacity.listed == capacity.actual
            && m_world.nowMs() > capacity.listedAtMs + deliveryMs;
    });
}

int ShrinkingSite::mostStartsOfATask() const
{
    int most = 0;
    for (int i = 0; i < workerCount; ++i)
        most = std::max(most, m_world.startsOf({ m_longRunning, 0, 0, i }));
    for (const JobId &id : m_jobs) {
        for (int i = 0; i < 6; ++i)
            most = std::max(
                { most, m_world.startsOf({ id, 0, 0, i }), m_world.startsOf({ id, 0, 1, i }) });
    }
    return most;
}

bool ShrinkingSite::areAllDone() const
{
    return m_world.state(m_longRunning) == JobState::Running
        && std::all_of(m_jobs.begin(), m_jobs.end(), [this](const JobId &id) {
               return m_world.state(id) == JobState::Completed;
           });
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

TEST_CASE("A burst while some workers have shrunk overfills none and stops nothing")
{
    ShrinkingDay day;
    day.shareOfWorkers = GENERATE(0.1, 0.25, 0.5);
    day.shareOfCapacity = GENERATE(0.55, 0.3);
    day.burstAfterMs = GENERATE(-3000, 0, 5000);
    INFO("share of workers: " << day.shareOfWorkers << ", of capacity: " << day.shareOfCapacity
                              << ", burst after ms: " << day.burstAfterMs);
    const bool guardsCapacity = GENERATE(false, true);
    INFO("workers guard their capacity: " << guardsCapacity);

    for (int seed = 1; seed <= 2; ++seed) {
        ShrinkingSite site(static_cast<std::uint32_t>(seed), guardsCapacity);
        site.play(3000 + 340 * seed, day);
        INFO("seed " << seed << ": " << site.world().violation());
        CHECK(site.stepsOverCapacity() > 0);
        CHECK(site.startsOverCapacity() == 0);
        CHECK(site.avoidableRejections() == 0);
        CHECK(site.mostStartsOfATask() == 1);
        CHECK(site.areAllDone());
        REQUIRE(site.world().violation().empty());
    }
}
