#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

using namespace Jobs;

TEST_CASE("A job waits until one of its tasks can start")
{
    SchedulerFixture site({ 1, 0, Core::Instant() });
    site.report(SchedulerFixture::first, {});
    site.report(SchedulerFixture::second, {});
    site.runForTwoSeconds();

    SECTION("a job begins at once if there is free capacity")
    {
        site.submit(SchedulerFixture::step(2));
        CHECK(site.waitingCount() == 1);
        CHECK(site.runForTwoSeconds().size() == 2);
        CHECK(site.waitingCount() == 0);
    }
    SECTION("a gang waits while not all its members fit")
    {
        StepSpec step = SchedulerFixture::step(5, 2000);
        step.isGang = true;
        site.submit(step);
        CHECK(site.runForTwoSeconds().empty());
        CHECK(site.waitingCount() == 1);
        SECTION("and no record is written for it")
        {
            CHECK(site.recordsWritten() == 0);
        }
    }
    SECTION("a job waits again if an outage of the store prevents its start")
    {
        site.submit(SchedulerFixture::step(1));
        site.plan();
        site.setStoreReachable(false);
        CHECK(site.runForTwoSeconds().empty());
        site.commit();
        CHECK(site.waitingCount() == 1);
        site.setStoreReachable(true);
        CHECK(site.runForTwoSeconds().size() == 1);
        CHECK(site.waitingCount() == 0);
    }
    SECTION("a job waits while starts are held, even if a worker was already chosen")
    {
        site.submit(SchedulerFixture::step(1));
        site.plan();
        site.scheduler().setStartsHeld(true);
        CHECK(site.runForTwoSeconds().empty());
        CHECK(site.waitingCount() == 1);
        site.scheduler().setStartsHeld(false);
        CHECK(site.runForTwoSeconds().size() == 1);
        CHECK(site.waitingCount() == 0);
    }
}

TEST_CASE("A job waits until a worker has started one of its tasks")
{
    SchedulerFixture site({ 1, 0, Core::Instant() });
    site.report(SchedulerFixture::first, {});
    site.report(SchedulerFixture::second, {});
    site.runForTwoSeconds();
    site.submit(SchedulerFixture::step(1));

    SECTION("a job waits if all its starts were rejected")
    {
        site.answerStarts(GENERATE(StartOutcome::NotSent, StartOutcome::Refused,
                                   StartOutcome::NoRoom, StartOutcome::OtherIncarnation,
                                   StartOutcome::Late, StartOutcome::Invalid,
                                   StartOutcome::OtherProcess));
        REQUIRE_FALSE(site.runForTwoSeconds().empty());
        CHECK(site.waitingCount() == 1);
        SECTION("and rejections write no records: only the chosen workers are recorded")
        {
            site.runForTwoSeconds();
            site.runForTwoSeconds();
            CHECK(site.workerRecordsWritten() <= 2);
            // The first progress goes with the first workers.
            CHECK(site.recordsWritten() <= site.workerRecordsWritten() + 1);
        }
    }
    SECTION("a job whose start may have been executed")
    {
        site.answerStarts(
            GENERATE(StartOutcome::Unknown, StartOutcome::Interrupted, StartOutcome::OldRun));
        const std::vector<StartCommand> starts = site.runForTwoSeconds();
        REQUIRE_FALSE(starts.empty());
        SECTION("waits until a worker has shown a run of it")
        {
            CHECK(site.waitingCount() == 1);
        }
        SECTION("waits if the worker crashes before it has shown the run")
        {
            const Core::VmId worker = starts.back().worker;
            site.restart(worker);
            site.answerStarts(StartOutcome::Refused);
            site.report(worker, {});
            site.runForTwoSeconds();
            CHECK(site.waitingCount() == 1);
        }
        SECTION("doesn't wait once a worker has reported the run as running")
        {
            const RunningEntry running { SchedulerFixture::task(0), starts.back().run, "", 10,
                                         500 };
            site.report(starts.back().worker, {}, { running });
            site.commit();
            CHECK(site.waitingCount() == 0);
        }
        SECTION("doesn't wait once a worker has reported an end of the run")
        {
            site.report(starts.back().worker,
                        { SchedulerFixture::end(1, 0, starts.back().run, EndKind::Failed) });
            site.commit();
            CHECK(site.waitingCount() == 0);
        }
    }
    SECTION("a job that has begun never waits again, even if later starts are rejected")
    {
        REQUIRE(site.runForTwoSeconds().size() == 1);
        REQUIRE(site.waitingCount() == 0);
        site.endTask(SchedulerFixture::task(0), EndKind::Failed);
        site.answerStarts(StartOutcome::Refused);
        site.reportAll(0);
        REQUIRE_FALSE(site.runForTwoSeconds().empty());
        CHECK(site.waitingCount() == 0);
    }
}

TEST_CASE(
    "An ended run that proves that its job has begun is acknowledged only once that is recorded")
{
    constexpr int stepsToNextRenewal = 70;
    SchedulerFixture site({ 1, 0, Core::Instant() });
    site.report(SchedulerFixture::first, {});
    site.report(SchedulerFixture::second, {});
    site.runForTwoSeconds();
    site.submit(SchedulerFixture::step(1), "other");
    const Core::VmId worker = site.runForTwoSeconds().at(0).worker;
    const RunningEntry other { { JobId("other"), 0, 0, 0 }, 1, "", 10, 500 };
    site.submit(SchedulerFixture::step(1));
    site.plan();
    site.commit();

    const std::vector<EndedEntry> stopped { SchedulerFixture::end(1, 0, 1, EndKind::Stopped) };
    site.report(worker, stopped, { other });
    for (int i = 0; i < stepsToNextRenewal; ++i)
        site.plan();
    REQUIRE(site.isRenewalDue(worker));
    CHECK(site.acknowledgedEnd(worker) == 0);
    site.commit();
    CHECK(site.waitingCount() == 0);
    site.report(worker, stopped, { other });
    for (int i = 0; i < stepsToNextRenewal; ++i)
        site.plan();
    REQUIRE(site.isRenewalDue(worker));
    CHECK(site.acknowledgedEnd(worker) == 1);
}

TEST_CASE("A new owner knows which jobs began under the former owner")
{
    SchedulerFixture former({ 1, 0, Core::Instant() });
    former.report(SchedulerFixture::first, {});
    former.report(SchedulerFixture::second, {});
    former.runForTwoSeconds();
    former.submit(SchedulerFixture::step(1));
    SchedulerFixture owner({ 2, 1, Core::Instant(std::chrono::minutes(1)) });

    SECTION("a job whose start the former owner planned but never sent still waits once all "
            "workers have reported")
    {
        former.plan();
        former.commit();
        // The workers and the first progress.
        REQUIRE(former.recordsWritten() == 2);
        owner.takeOver(former);
        owner.report(SchedulerFixture::first, {});
        owner.report(SchedulerFixture::second, {});
        owner.answerStarts(StartOutcome::Refused);
        REQUIRE_FALSE(owner.runForTwoSeconds().empty());
        CHECK(owner.waitingCount() == 1);
    }
    SECTION("a job whose start wasn't answered has begun if a worker reports its task as running")
    {
        former.plan();
        former.commit();
        owner.takeOver(former);
        owner.report(SchedulerFixture::first, {},
                     { { SchedulerFixture::task(0), 1, "", 10, 500 } });
        owner.commit();
        CHECK(owner.waitingCount() == 0);
    }
    SECTION("a job whose start wasn't answered has begun if a worker reports its task as ended")
    {
        former.plan();
        former.commit();
        owner.takeOver(former);
        owner.answerStarts(StartOutcome::Refused);
        owner.report(SchedulerFixture::first, { SchedulerFixture::end(1, 0, 1, EndKind::Stopped) });
        owner.commit();
        CHECK(owner.waitingCount() == 0);
    }
    SECTION("a job that has begun doesn't wait again, even if no worker knows its run any more")
    {
        REQUIRE(former.runForTwoSeconds().size() == 1);
        owner.takeOver(former);
        owner.report(SchedulerFixture::first, {});
        owner.report(SchedulerFixture::second, {});
        owner.answerStarts(StartOutcome::Refused);
        REQUIRE_FALSE(owner.runForTwoSeconds().empty());
        CHECK(owner.waitingCount() == 0);
    }
}

TEST_CASE("A stop that was lost is sent again until the run has ended, and not after it")
{
    SchedulerFixture site({ 1, 0, Core::Instant() });
    site.report(SchedulerFixture::first, {});
    site.report(SchedulerFixture::second, {});
    site.runForTwoSeconds();
    site.submit(SchedulerFixture::step(1));
    const std::vector<StartCommand> starts = site.runForTwoSeconds();
    REQUIRE(starts.size() == 1);

    site.cancel();
    site.runForTwoSeconds();
    constexpr std::size_t stopsInTwoSeconds = 4;
    REQUIRE(site.stops().size() == stopsInTwoSeconds);
    for (const StopCommand &stop : site.stops()) {
        CHECK(stop.worker == starts[0].worker);
        CHECK(stop.run == starts[0].run);
    }

    const EndedEntry end = SchedulerFixture::end(1, 0, starts[0].run, EndKind::Stopped);
    site.report(starts[0].worker, { end });
    site.runForTwoSeconds();
    CHECK(site.stops().size() == stopsInTwoSeconds);
}
