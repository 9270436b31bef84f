#include "TwoWorkers.h"

#include <catch2/catch.hpp>

using namespace Jobs;

TEST_CASE("A job waits until one of its tasks may start")
{
    TwoWorkers site({ 1, 0, Core::Instant() });
    site.report(TwoWorkers::first, {});
    site.report(TwoWorkers::second, {});
    site.settle();

    SECTION("a job with room for it begins at once")
    {
        site.submit(TwoWorkers::step(2));
        CHECK(site.waitingCount() == 1);
        CHECK(site.settle().size() == 2);
        CHECK(site.waitingCount() == 0);
    }
    SECTION("a gang that doesn't fit as a whole goes on waiting")
    {
        StepSpec step = TwoWorkers::step(5, 2000);
        step.isGang = true;
        site.submit(step);
        CHECK(site.settle().empty());
        CHECK(site.waitingCount() == 1);
        SECTION("and nothing is written for it")
        {
            CHECK(site.recordsWritten() == 0);
        }
    }
    SECTION("a job whose start the store's outage prevents waits again")
    {
        site.submit(TwoWorkers::step(1));
        site.plan();
        site.setStoreReachable(false);
        CHECK(site.settle().empty());
        site.commit();
        CHECK(site.waitingCount() == 1);
        site.setStoreReachable(true);
        CHECK(site.settle().size() == 1);
        CHECK(site.waitingCount() == 0);
    }
    SECTION("a job whose start is held waits, also if its worker was chosen already")
    {
        site.submit(TwoWorkers::step(1));
        site.plan();
        site.scheduler().setStartsHeld(true);
        CHECK(site.settle().empty());
        CHECK(site.waitingCount() == 1);
        site.scheduler().setStartsHeld(false);
        CHECK(site.settle().size() == 1);
        CHECK(site.waitingCount() == 0);
    }
}

TEST_CASE("A job waits until a worker has begun one of its tasks")
{
    TwoWorkers site({ 1, 0, Core::Instant() });
    site.report(TwoWorkers::first, {});
    site.report(TwoWorkers::second, {});
    site.settle();
    site.submit(TwoWorkers::step(1));

    SECTION("a job whose only starts were refused waits")
    {
        site.answerStarts(GENERATE(StartOutcome::NotSent, StartOutcome::Refused,
                                   StartOutcome::NoRoom, StartOutcome::OtherIncarnation,
                                   StartOutcome::Late, StartOutcome::Invalid));
        REQUIRE_FALSE(site.settle().empty());
        CHECK(site.waitingCount() == 1);
        SECTION("and refusals write nothing: only the workers that may be used are recorded")
        {
            site.settle();
            site.settle();
            CHECK(site.recordsWritten() <= 2);
        }
    }
    SECTION("a job doesn't wait whose start may have been carried out")
    {
        site.answerStarts(GENERATE(StartOutcome::Unknown, StartOutcome::OldRun));
        REQUIRE_FALSE(site.settle().empty());
        CHECK(site.waitingCount() == 0);
    }
    SECTION("a job that has begun never waits again, whatever is refused later")
    {
        REQUIRE(site.settle().size() == 1);
        REQUIRE(site.waitingCount() == 0);
        site.endTask(TwoWorkers::task(0), EndKind::Failed);
        site.answerStarts(StartOutcome::Refused);
        site.reportAll(0);
        REQUIRE_FALSE(site.settle().empty());
        CHECK(site.waitingCount() == 0);
    }
}

TEST_CASE("A worker forgets no end that shows that a job has begun before that is recorded")
{
    constexpr int stepsToNextRenewal = 70;
    TwoWorkers site({ 1, 0, Core::Instant() });
    site.report(TwoWorkers::first, {});
    site.report(TwoWorkers::second, {});
    site.settle();
    site.submit(TwoWorkers::step(1), "other");
    const Core::VmId worker = site.settle().at(0).worker;
    const RunningEntry other { { JobId("other"), 0, 0, 0 }, 1, "", 10, 500 };
    site.submit(TwoWorkers::step(1));
    site.plan();
    site.commit();

    const std::vector<EndedEntry> stopped { TwoWorkers::end(1, 0, 1, EndKind::Stopped) };
    site.report(worker, stopped, { other });
    for (int i = 0; i < stepsToNextRenewal; ++i)
        site.plan();
    REQUIRE(site.isAsked(worker));
    CHECK(site.acknowledgedEnd(worker) == 0);
    site.commit();
    CHECK(site.waitingCount() == 0);
    site.report(worker, stopped, { other });
    for (int i = 0; i < stepsToNextRenewal; ++i)
        site.plan();
    REQUIRE(site.isAsked(worker));
    CHECK(site.acknowledgedEnd(worker) == 1);
}

TEST_CASE("A new owner knows which jobs have begun under the former one")
{
    TwoWorkers former({ 1, 0, Core::Instant() });
    former.report(TwoWorkers::first, {});
    former.report(TwoWorkers::second, {});
    former.settle();
    former.submit(TwoWorkers::step(1));
    TwoWorkers owner({ 2, 1, Core::Instant(std::chrono::minutes(1)) });

    SECTION("a job that the former owner planned and never sent waits once all were asked")
    {
        former.plan();
        former.commit();
        REQUIRE(former.recordsWritten() == 1);
        owner.takeOver(former);
        owner.report(TwoWorkers::first, {});
        owner.report(TwoWorkers::second, {});
        owner.answerStarts(StartOutcome::Refused);
        REQUIRE_FALSE(owner.settle().empty());
        CHECK(owner.waitingCount() == 1);
    }
    SECTION("a job whose start wasn't answered to the former owner has begun if a worker runs it")
    {
        former.plan();
        former.commit();
        owner.takeOver(former);
        owner.report(TwoWorkers::first, {}, { { TwoWorkers::task(0), 1, "", 10, 500 } });
        owner.commit();
        CHECK(owner.waitingCount() == 0);
    }
    SECTION("and if a worker has ended it, however")
    {
        former.plan();
        former.commit();
        owner.takeOver(former);
        owner.answerStarts(StartOutcome::Refused);
        owner.report(TwoWorkers::first, { TwoWorkers::end(1, 0, 1, EndKind::Stopped) });
        owner.commit();
        CHECK(owner.waitingCount() == 0);
    }
    SECTION("a job that began doesn't wait again, though its run is gone and nobody knows it")
    {
        REQUIRE(former.settle().size() == 1);
        owner.takeOver(former);
        owner.report(TwoWorkers::first, {});
        owner.report(TwoWorkers::second, {});
        owner.answerStarts(StartOutcome::Refused);
        REQUIRE_FALSE(owner.settle().empty());
        CHECK(owner.waitingCount() == 0);
    }
}
