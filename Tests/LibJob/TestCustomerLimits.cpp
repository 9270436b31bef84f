#include "JobWorld.h"
#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace Jobs;

namespace {

const Core::CustomerId small("small");
const Core::CustomerId other("other");
constexpr std::int64_t core = 1000;

Customer customer(const Core::CustomerId &id, std::int64_t milliCores)
{
    Customer limited;
    limited.id = id;
    limited.limit.milliCores = milliCores;
    return limited;
}

/// The terms of an owner whose predecessor's leases end 10 s after the beginning of a test.
Ownership successor(std::int64_t term)
{
    Ownership ownership;
    ownership.token = 1000 * (term + 1);
    ownership.term = term;
    ownership.formerLeasesEndAt = Core::Instant(std::chrono::seconds(20));
    return ownership;
}

void letWorkersReport(SchedulerFixture &site)
{
    site.report(SchedulerFixture::first, {});
    site.report(SchedulerFixture::second, {});
}

/// The worker reports what it was told to start.
void reportStarted(SchedulerFixture &site, const std::vector<StartCommand> &starts)
{
    for (const Core::VmId &worker : { SchedulerFixture::first, SchedulerFixture::second }) {
        std::vector<RunningEntry> running;
        for (const StartCommand &start : starts) {
            if (start.worker == worker)
                running.push_back({ start.task, start.run, "", 0, 0 });
        }
        site.report(worker, {}, running);
    }
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("A customer's tasks don't exceed its limit on all workers together", "[customers]")
{
    SchedulerFixture site({ 1, 0, Core::Instant() });
    site.setCustomers({ customer(small, 2 * core), customer(other, 0) });
    letWorkersReport(site);
    site.runForTwoSeconds();
    site.submitFor(small);

    // A run without an answer may exist: if it didn't count, twice the limit would run.
    SECTION("while starts of it aren't answered")
    {
        site.answerStarts(StartOutcome::Unknown);
        site.submit(SchedulerFixture::step(6, core));
        CHECK(site.runForTwoSeconds().size() == 2);
        site.answerStarts(StartOutcome::Started);
        // A report without a run shows that it is gone only after the deadline of its start.
        for (int i = 0; i < 2; ++i) {
            letWorkersReport(site);
            CHECK(site.runForTwoSeconds().empty());
        }
        std::size_t started = 0;
        for (int i = 0; i < 4 && started == 0; ++i) {
            letWorkersReport(site);
            started = site.runForTwoSeconds().size();
        }
        CHECK(started == 2);
    }
    SECTION("while a worker with its tasks is silent and their leases haven't ended")
    {
        site.submit(SchedulerFixture::step(6, core));
        CHECK(site.runForTwoSeconds().size() == 2);
        site.failRenewal(SchedulerFixture::first);
        site.failRenewal(SchedulerFixture::second);
        CHECK(site.runForTwoSeconds().empty());
        CHECK(site.scheduler().customerLedger().used(small).milliCores == 2 * core);
        site.partition(SchedulerFixture::first);
        letWorkersReport(site);
        CHECK(site.runForTwoSeconds().size() == 2);
    }
    SECTION("and a task that waits for it says so")
    {
        site.submit(SchedulerFixture::step(3, core));
        site.runForTwoSeconds();
        const std::string line = site.lastNote("job", "wait");
        CHECK(contains(line, "reason=customer-limit"));
        CHECK(contains(line, "customer=small used_milli_cores=2000 limit_milli_cores=2000"));
    }
    SECTION("after it was lowered, until the use has fallen, and up to a raised one at once")
    {
        site.setCustomers({ customer(small, 4 * core) });
        site.submit(SchedulerFixture::step(8, core));
        CHECK(site.runForTwoSeconds().size() == 4);
        site.setCustomers({ customer(small, 2 * core) });
        site.endTask(SchedulerFixture::task(0), EndKind::Done);
        site.reportAll(0);
        site.endTask(SchedulerFixture::task(1), EndKind::Done);
        site.reportAll(0);
        CHECK(site.runForTwoSeconds().empty());
        CHECK(site.stops().empty());
        site.endTask(SchedulerFixture::task(2), EndKind::Done);
        site.reportAll(0);
        CHECK(site.runForTwoSeconds().size() == 1);
        site.setCustomers({ customer(small, 4 * core) });
        CHECK(site.runForTwoSeconds().size() == 2);
    }
    // The start would be sent when its commit is durable, which may be seconds later.
    SECTION("with starts that were planned before it was lowered and that wait for a commit")
    {
        site.submit(SchedulerFixture::step(2, core));
        site.plan();
        site.setCustomers({ customer(small, core) });
        CHECK(site.runForTwoSeconds().size() == 1);
    }
    SECTION("after the customer was removed")
    {
        site.submit(SchedulerFixture::step(6, core));
        CHECK(site.runForTwoSeconds().size() == 2);
        site.setCustomers({});
        CHECK(site.runForTwoSeconds().empty());
    }
    SECTION("unless a task is larger than half of the limit")
    {
        site.submit(SchedulerFixture::step(1, core));
        CHECK(site.runForTwoSeconds().size() == 1);
        site.submit(SchedulerFixture::step(2, core + core / 2), "large");
        CHECK(site.runForTwoSeconds().size() == 1);
        CHECK(site.scheduler().customerLedger().used(small).milliCores == 2500);
    }
    SECTION("or larger than all of it")
    {
        site.submit(SchedulerFixture::step(2, 3 * core));
        CHECK(site.runForTwoSeconds().size() == 1);
    }
}

TEST_CASE("The members of a gang start if all of them fit in the limit", "[customers]")
{
    SchedulerFixture site({ 1, 0, Core::Instant() });
    site.setCustomers({ customer(small, 2 * core) });
    letWorkersReport(site);
    site.runForTwoSeconds();
    site.submitFor(small);
    StepSpec gang = SchedulerFixture::step(2, core);
    gang.isGang = true;

    SECTION("beside the customer's other tasks")
    {
        site.submit(SchedulerFixture::step(1, core));
        CHECK(site.runForTwoSeconds().size() == 1);
        site.submit(gang, "gang");
        CHECK(site.runForTwoSeconds().empty());
        site.endTask(SchedulerFixture::task(0), EndKind::Done);
        site.reportAll(0);
        CHECK(site.runForTwoSeconds().size() == 2);
    }
    SECTION("and one that is larger than the whole limit waits and says so")
    {
        gang.taskCount = 3;
        site.submit(gang);
        CHECK(site.runForTwoSeconds().empty());
        CHECK(contains(site.lastNote("job", "wait"), "reason=customer-limit"));
        CHECK(contains(site.lastNote("job", "wait"), "exceeds_whole_limit=1"));
    }
}

// If the demand of a customer at its limit counted as rejected, others would wait for nothing.
TEST_CASE("Other work with the same demand starts while a customer is at its limit", "[customers]")
{
    SchedulerFixture site({ 1, 0, Core::Instant() });
    site.setCustomers({ customer(small, 2 * core), customer(other, 0) });
    letWorkersReport(site);
    site.runForTwoSeconds();
    site.submitFor(small);
    // The job with the least work is planned first.
    site.submit(SchedulerFixture::step(3, core));
    site.submitFor(other);
    site.submit(SchedulerFixture::step(4, core), "of-other");
    site.submitFor({});
    site.submit(SchedulerFixture::step(2, core), "of-nobody");
    CHECK(site.runForTwoSeconds().size() == 8);
}

TEST_CASE("An interrupted long-running task waits for its customer's limit", "[customers]")
{
    SchedulerFixture site({ 1, 0, Core::Instant() });
    site.setCustomers({ customer(small, 2 * core) });
    letWorkersReport(site);
    site.runForTwoSeconds();
    site.submitFor(small);
    StepSpec step = SchedulerFixture::step(2, core);
    step.isLongRunning = true;
    site.submit(step);
    letWorkersReport(site);
    const std::vector<StartCommand> starts = site.runForTwoSeconds();
    REQUIRE(starts.size() == 2);
    // A worker that wasn't heard lately is asked before it gets a long-running task.
    const auto reportBoth = [&] {
        site.reportAll(0);
        for (const Core::VmId &worker : { SchedulerFixture::first, SchedulerFixture::second }) {
            if (std::none_of(starts.begin(), starts.end(),
                             [&](const StartCommand &start) { return start.worker == worker; }))
                site.report(worker, {});
        }
    };
    site.setCustomers({ customer(small, core) });
    site.endTask(SchedulerFixture::task(0), EndKind::Failed);
    reportBoth();
    for (int i = 0; i < 5; ++i) {
        CHECK(site.runForTwoSeconds().empty());
        reportBoth();
    }
    site.setCustomers({ customer(small, 2 * core) });
    reportBoth();
    CHECK(site.runForTwoSeconds().size() == 1);
}

TEST_CASE("The next owner counts what the former one may have started", "[customers]")
{
    SchedulerFixture former({ 1, 0, Core::Instant() });
    former.setCustomers({ customer(small, 2 * core) });
    letWorkersReport(former);
    former.runForTwoSeconds();
    former.submitFor(small);
    former.submit(SchedulerFixture::step(2, core));
    const std::vector<StartCommand> starts = former.runForTwoSeconds();
    REQUIRE(starts.size() == 2);
    former.submit(SchedulerFixture::step(2, core), "next");
    former.runForTwoSeconds();

    SECTION("until the workers have answered, and adopts what they run")
    {
        SchedulerFixture owner(successor(1));
        owner.setCustomers({ customer(small, 2 * core) });
        owner.takeOver(former);
        CHECK(owner.runForTwoSeconds().empty());
        reportStarted(owner, starts);
        CHECK(owner.runForTwoSeconds().empty());
        CHECK(owner.scheduler().customerLedger().used(small).milliCores == 2 * core);
    }
    SECTION("and has no limit for a customer that was removed before")
    {
        SchedulerFixture owner(successor(1));
        owner.setCustomers({});
        owner.takeOver(former);
        reportStarted(owner, starts);
        CHECK(owner.runForTwoSeconds().size() == 2);
    }
    // Without the sum in the final progress, the next owner knows nothing of these runs.
    SECTION("also of a job whose runs were being stopped, whoever comes next")
    {
        former.cancel("job");
        former.commit();
        SchedulerFixture owner(successor(1));
        owner.setCustomers({ customer(small, 2 * core) });
        owner.takeOver(former);
        letWorkersReport(owner);
        CHECK(owner.runForTwoSeconds().empty());
        SchedulerFixture third(successor(2));
        third.setCustomers({ customer(small, 2 * core) });
        third.takeOver(owner);
        letWorkersReport(third);
        CHECK(third.runForTwoSeconds().empty());
        while (third.runForTwoSeconds().empty() && third.waitingCount() > 0)
            letWorkersReport(third);
        CHECK(third.scheduler().customerLedger().used(small).milliCores == 2 * core);
    }
    // The job is forgotten once its end is durable, while the workers still stop its runs.
    SECTION("also of a job that it cancels itself before it has adopted the runs")
    {
        SchedulerFixture owner(successor(1));
        owner.setCustomers({ customer(small, 2 * core) });
        owner.takeOver(former);
        owner.cancel("job");
        const std::vector<RunningEntry> running = { { starts[0].task, starts[0].run, "", 0, 0 },
                                                    { starts[1].task, starts[1].run, "", 0, 0 } };
        for (int i = 0; i < 2; ++i) {
            owner.report(SchedulerFixture::first, {}, running);
            owner.report(SchedulerFixture::second, {});
            // The workers count as answered before the end is durable.
            owner.plan();
            CHECK(owner.runForTwoSeconds().empty());
        }
        letWorkersReport(owner);
        CHECK(owner.runForTwoSeconds().size() == 2);
    }
}

namespace {

FaultRates faultsWithTakeovers()
{
    FaultRates faults;
    faults.lostAnswer = 0.15;
    faults.delayedCommand = 0.1;
    faults.workerCrash = 0.05;
    faults.workerPartition = 0.4;
    faults.storePartition = 0.2;
    faults.freeze = 0.1;
    faults.claim = 0.4;
    faults.failedRun = 0.03;
    faults.maxFaultMs = 6000;
    return faults;
}

WorkerLife slowStops()
{
    WorkerLife life;
    life.workerCount = 8;
    life.stopTakesMs = 2000;
    life.minTaskMs = 800;
    return life;
}

/// Both customers always want more than their limits permit, and cancel some of their jobs.
void runLimitedCustomers(JobWorld &world)
{
    world.setCustomers({ customer(small, 2 * core), customer(other, 4 * core) });
    world.claim(0);
    for (int i = 0; i < 10; ++i) {
        const JobId first = world.submit(simulatedJob({ 6 }), 10, small);
        world.submit(simulatedJob({ 8, 3 }), 10, other);
        world.run(1500);
        if (i % 2 == 0)
            world.cancel(first);
        world.run(1000);
    }
}

constexpr std::uint32_t seeds = 200;

int countExceeded(DisabledGuard disabledGuard)
{
    int count = 0;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed) {
        JobWorld world(seed, faultsWithTakeovers(), disabledGuard, slowStops());
        runLimitedCustomers(world);
        INFO("seed " << seed << ": " << world.violation());
        if (disabledGuard == DisabledGuard::None)
            CHECK(world.violation().empty());
        count += world.violation().empty() ? 0 : 1;
    }
    return count;
}

} // namespace

TEST_CASE("What really runs of a customer stays within its limit, whatever fails", "[customers]")
{
    CHECK(countExceeded(DisabledGuard::None) == 0);
}

TEST_CASE("The limit is exceeded if ended jobs don't tell what they still use",
          "[customers][guards]")
{
    CHECK(countExceeded(DisabledGuard::RemainingUse) > 0);
}

TEST_CASE("The next owner counts occurrences that it hasn't begun", "[customers]")
{
    // It begins only a few at first, while the former owner has begun all that are due.
    for (std::uint32_t seed = 1; seed <= 30; ++seed) {
        WorkerLife life;
        life.workerCount = 8;
        JobWorld world(seed, {}, DisabledGuard::None, life);
        world.setCustomers({ customer(small, 10 * core) });
        world.claim(0);
        JobSpec scheduled = simulatedJob({ 2 }, JobWorld::longRunningPayload);
        scheduled.repeatCount = 10;
        scheduled.firstDueUnixMs = world.nowMs();
        scheduled.intervalMs = 1;
        const JobId lasting = world.submit(scheduled, 3, small);
        world.run(3000);
        REQUIRE(world.runningCount() == 20);
        world.submit(simulatedJob({ 16 }), 3, small);
        world.run(500);
        world.kill(0);
        for (std::size_t worker = 0; worker < 6; ++worker)
            world.partitionWorker(1, worker, 4000);
        world.run(1700);
        world.claim(1);
        world.run(6000);
        INFO("seed " << seed << ": " << world.violation());
        CHECK(world.violation().empty());
        CHECK(world.startsOf({ lasting, 0, 0, 0 }) >= 1);
    }
}

TEST_CASE("Jobs of customers with limits all end once the faults stop", "[customers]")
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed) {
        JobWorld world(seed, faultsWithTakeovers(), DisabledGuard::None, slowStops());
        runLimitedCustomers(world);
        world.stopFaults();
        world.claim(0);
        world.run(120000);
        INFO("seed " << seed << ": " << world.violation());
        CHECK(world.violation().empty());
        CHECK(world.areAllOver());
    }
}
