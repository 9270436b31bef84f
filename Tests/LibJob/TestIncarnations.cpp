#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

using namespace Jobs;

namespace {

/// The first owner of a site, on which one task occupies either worker whole.
class Site : public SchedulerFixture
{
public:
    static constexpr std::int64_t wholeWorker = 4000;

    Site()
        : SchedulerFixture({ 1, 0, Core::Instant() })
    {
        report(first, {});
        report(second, {});
        runForTwoSeconds();
        submit(step(1, wholeWorker));
    }

    static const Core::VmId &other(const Core::VmId &worker)
    {
        return worker == first ? second : first;
    }
};

/// The second owner of a site, which takes over a job that may have run on both workers.
class Successor : public SchedulerFixture
{
public:
    Successor()
        : SchedulerFixture({ 2, 1, Core::Instant(std::chrono::minutes(1)) })
    {
        takeOver(step(1), 3);
    }
};

} // namespace

TEST_CASE("Tasks are started elsewhere once another incarnation of their worker has answered")
{
    Site owner;

    SECTION("whether their start was answered")
    {
        const std::vector<StartCommand> starts = owner.runForTwoSeconds();
        REQUIRE(starts.size() == 1);
        owner.answerAsOtherIncarnation(starts.front().worker, starts.front().address);
        const std::vector<StartCommand> restarts = owner.runForTwoSeconds();
        REQUIRE(restarts.size() == 1);
        CHECK(restarts.front().worker == Site::other(starts.front().worker));
        CHECK(restarts.front().run > starts.front().run);
    }
    SECTION("or not")
    {
        owner.answerStarts(GENERATE(StartOutcome::Unknown, StartOutcome::Interrupted));
        const std::vector<StartCommand> starts = owner.runForTwoSeconds();
        REQUIRE(starts.size() == 1);
        owner.answerStarts(StartOutcome::Started);
        owner.answerAsOtherIncarnation(starts.front().worker, starts.front().address);
        const std::vector<StartCommand> restarts = owner.runForTwoSeconds();
        REQUIRE(restarts.size() == 1);
        CHECK(restarts.front().worker == Site::other(starts.front().worker));
    }
}

TEST_CASE("A silent worker is asked at once when the list shows another one at its address")
{
    Site owner;
    const std::vector<StartCommand> starts = owner.runForTwoSeconds();
    REQUIRE(starts.size() == 1);
    const Core::VmId &worker = starts.front().worker;
    REQUIRE(owner.isRenewalDue(worker));
    owner.failRenewal(worker);
    REQUIRE_FALSE(owner.isRenewalDue(worker));
    owner.listSuccessor(worker);
    CHECK(owner.isRenewalDue(worker));
}

TEST_CASE("A report that an ended incarnation sent before has no effect")
{
    Site owner;
    const std::vector<StartCommand> starts = owner.runForTwoSeconds();
    REQUIRE(starts.size() == 1);
    const StartCommand &start = starts.front();
    owner.answerAsOtherIncarnation(start.worker, start.address);
    // Leaves the task without a worker, so that nothing but the report could end it.
    owner.answerAsOtherIncarnation(Site::other(start.worker), Site::other(start.worker).text());
    owner.reportFromBefore(start.worker, { { 1, start.task, start.run, EndKind::Done, "" } });
    CHECK(owner.runForTwoSeconds().empty());
    CHECK(owner.state() == JobState::Running);
}

TEST_CASE("An answer from an address that the worker has left shows nothing")
{
    Site owner;
    const std::vector<StartCommand> starts = owner.runForTwoSeconds();
    REQUIRE(starts.size() == 1);
    owner.answerAsOtherIncarnation(starts.front().worker, "former address");
    CHECK(owner.runForTwoSeconds().empty());
}

TEST_CASE("Tasks that run aren't started again because another worker answers at an address where "
          "theirs was never heard")
{
    Site owner;
    const std::vector<StartCommand> starts = owner.runForTwoSeconds();
    REQUIRE(starts.size() == 1);
    const StartCommand &start = starts.front();
    const Core::VmId &worker = start.worker;
    const std::string wrongAddress = Site::other(worker).text();
    const std::vector<RunningEntry> running { { start.task, start.run, "", 50, 0 } };
    owner.report(worker, {}, running);
    const std::int64_t listedStart = GENERATE(0, 1, 2, 1'000'000'000'000);
    owner.listAt(worker, wrongAddress, listedStart);
    owner.answerAsOtherIncarnation(worker, wrongAddress);
    CHECK(owner.runForTwoSeconds().empty());

    SECTION("they run on when their worker is heard again")
    {
        owner.listAt(worker, start.address, 1);
        CHECK(owner.isRenewalDue(worker));
        owner.report(worker, {}, running);
        CHECK(owner.runForTwoSeconds().empty());
        CHECK(owner.stops().empty());
        CHECK(owner.state() == JobState::Running);
    }
    SECTION("they are started elsewhere when their lease has ended")
    {
        std::vector<StartCommand> restarts;
        for (int i = 0; i < 3 && restarts.empty(); ++i) {
            owner.answerAsOtherIncarnation(worker, wrongAddress);
            restarts = owner.runForTwoSeconds();
        }
        REQUIRE(restarts.size() == 1);
        CHECK(restarts.front().worker == Site::other(worker));
    }
    SECTION("they are started elsewhere at once when another incarnation answers at their worker's "
            "own address")
    {
        owner.listAt(worker, start.address, 1);
        owner.answerAsOtherIncarnation(worker, start.address);
        const std::vector<StartCommand> restarts = owner.runForTwoSeconds();
        REQUIRE(restarts.size() == 1);
        CHECK(restarts.front().worker == Site::other(worker));
    }
}

TEST_CASE("A worker is asked again after a start that another worker has answered")
{
    Site owner;
    const Core::VmId &worker = SchedulerFixture::first;
    const std::string &wrongAddress = SchedulerFixture::second.text();
    owner.listAt(worker, wrongAddress, 1);
    owner.answerStarts(StartOutcome::OtherIncarnation);
    bool wasStartedThere = false;
    for (const StartCommand &start : owner.runForTwoSeconds())
        wasStartedThere |= start.worker == worker;
    REQUIRE(wasStartedThere);
    CHECK(owner.isRenewalDue(worker));
}

TEST_CASE("A new owner doesn't wait for a worker whose other incarnation has answered")
{
    Successor owner;
    owner.report(SchedulerFixture::second, {});
    REQUIRE(owner.runForTwoSeconds().empty());
    owner.answerAsOtherIncarnation(SchedulerFixture::first, SchedulerFixture::first.text());
    CHECK(owner.runForTwoSeconds().size() == 1);
}
