#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

using namespace Jobs;

namespace {

const Core::VmId &worker = SchedulerFixture::first;

/// An owner that has processed the end of a task on the first worker.
class Site : public SchedulerFixture
{
public:
    Site()
        : SchedulerFixture({ 1, 0, Core::Instant() })
    {
        report(first, {});
        report(second, {});
        runForTwoSeconds();
        submit(step(2));
        runForTwoSeconds();
        endTask(task(0), EndKind::Done);
        endTask(task(1), EndKind::Done);
        report(worker, { end(1, 0, 1, EndKind::Done) });
    }
};

} // namespace

// Guards against TWICE: a renewal that repeats an acknowledgement reaches the worker's next
// process, which forgets ends that the owner hasn't seen.
TEST_CASE("An acknowledgement is sent until the process that reported the ends has heard it")
{
    Site owner;

    SECTION("not before the ends are durable")
    {
        CHECK(owner.acknowledgedEnd(worker) == 0);
    }

    SECTION("when they are durable")
    {
        owner.commit();
        owner.runForTwoSeconds();
        REQUIRE(owner.acknowledgedEnd(worker) == 1);

        SECTION("again if the worker was told nothing")
        {
            owner.report(worker, {});
            owner.runForTwoSeconds();
            owner.submit(SchedulerFixture::step(2), "more");
            owner.runForTwoSeconds();
            CHECK(owner.acknowledgedEnd(worker) == 1);
        }
        SECTION("once if it has heard it")
        {
            owner.reportAcknowledged(worker, 1);
            owner.submit(SchedulerFixture::step(2), "more");
            owner.runForTwoSeconds();
            CHECK(owner.acknowledgedEnd(worker) == 0);
        }
        SECTION("not while the worker doesn't answer")
        {
            owner.failRenewal(worker);
            owner.runForTwoSeconds();
            CHECK(owner.acknowledgedEnd(worker) == 0);
        }
        SECTION("not if the list of workers shows a newer process")
        {
            owner.report(worker, {});
            owner.restart(worker);
            owner.listRestarted(worker);
            CHECK(owner.acknowledgedEnd(worker) == 0);
        }
        SECTION("not if a newer process has answered")
        {
            owner.restart(worker);
            owner.report(worker, {});
            owner.commit();
            CHECK(owner.acknowledgedEnd(worker) == 0);
        }
    }
}

TEST_CASE("A worker's next process gets no task before it has answered with a higher token")
{
    SchedulerFixture owner({ 1, 0, Core::Instant() });
    owner.report(SchedulerFixture::first, {});
    owner.report(SchedulerFixture::second, {});
    owner.runForTwoSeconds();
    const FencingToken formerToken = owner.tokenOf(SchedulerFixture::first);
    owner.setCapacity(SchedulerFixture::second, 0);
    owner.restart(SchedulerFixture::first);
    owner.report(SchedulerFixture::first, {});
    owner.submit(SchedulerFixture::step(1));
    CHECK(owner.runForTwoSeconds().empty());
    CHECK(owner.tokenOf(SchedulerFixture::first) > formerToken);

    owner.report(SchedulerFixture::first, {});
    const std::vector<StartCommand> starts = owner.runForTwoSeconds();
    REQUIRE(starts.size() == 1);
    CHECK(starts.front().token == owner.tokenOf(SchedulerFixture::first));
}

TEST_CASE("A planned run isn't started on a worker that has stopped answering meanwhile")
{
    SchedulerFixture owner({ 1, 0, Core::Instant() });
    owner.report(SchedulerFixture::first, {});
    owner.runForTwoSeconds();
    owner.submit(SchedulerFixture::step(1));
    owner.plan();
    REQUIRE(owner.scheduler().runningCount() == 1);

    SECTION("since a call to it has failed")
    {
        owner.failRenewal(SchedulerFixture::first);
    }
    SECTION("since the list of workers shows a newer process")
    {
        owner.restart(SchedulerFixture::first);
        owner.listRestarted(SchedulerFixture::first);
    }
    CHECK(owner.runForTwoSeconds().empty());
    CHECK(owner.scheduler().runningCount() == 0);
}
