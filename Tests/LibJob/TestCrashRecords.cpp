#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

using namespace Jobs;

namespace {

constexpr std::int64_t wholeWorker = 4000;

/// The first owner of a site, on which one task occupies either worker whole.
class Site : public SchedulerFixture
{
public:
    Site()
        : SchedulerFixture({ 1, 0, Core::Instant() })
    {
        report(first, {});
        report(second, {});
        runForTwoSeconds();
        submit(step(1, wholeWorker));
    }

    /// The task starts, and its worker crashes before a report has listed it.
    void crashOnce()
    {
        const std::vector<StartCommand> starts = runForTwoSeconds();
        REQUIRE(starts.size() == 1);
        answerAsOtherIncarnation(starts.front().worker, starts.front().address);
    }
};

/// An owner that takes over from another one, whose leases run out in a minute.
class Successor : public SchedulerFixture
{
public:
    Successor(const SchedulerFixture &former, std::int64_t term)
        : SchedulerFixture({ term + 1, term, Core::Instant(std::chrono::minutes(1)) })
    {
        takeOver(former);
    }
};

} // namespace

TEST_CASE("A crash under a task is recorded before the task starts again")
{
    Site owner;
    owner.crashOnce();

    SECTION("not while the record can't be written")
    {
        owner.setStoreReachable(false);
        CHECK(owner.runForTwoSeconds().empty());
        owner.setStoreReachable(true);
        CHECK(owner.runForTwoSeconds().size() == 1);
    }
    SECTION("so the next owner gives the task up after its second crash")
    {
        const std::vector<StartCommand> second = owner.runForTwoSeconds();
        REQUIRE(second.size() == 1);
        Successor next(owner, 1);
        next.report(SchedulerFixture::first, {});
        next.report(SchedulerFixture::second, {},
                    { { second.front().task, second.front().run, "", 10, 500 } });
        REQUIRE(next.runForTwoSeconds().empty());
        next.restart(SchedulerFixture::second);
        next.report(SchedulerFixture::second, {});
        CHECK(next.runForTwoSeconds().empty());
        CHECK(next.state() == JobState::Failed);
    }
}

TEST_CASE("The next owner counts a crash that its predecessor didn't live to see")
{
    Site owner;
    owner.crashOnce();
    const std::vector<StartCommand> starts = owner.runForTwoSeconds();
    REQUIRE(starts.size() == 1);
    REQUIRE(starts.front().worker == SchedulerFixture::second);

    SECTION("so a task whose worker has restarted meanwhile is given up after its third crash")
    {
        owner.restart(SchedulerFixture::second);
        Successor next(owner, 1);
        next.report(SchedulerFixture::first, {});
        next.report(SchedulerFixture::second, {});
        const std::vector<StartCommand> third = next.runForTwoSeconds();
        REQUIRE(third.size() == 1);
        next.answerAsOtherIncarnation(third.front().worker, third.front().address);
        CHECK(next.runForTwoSeconds().empty());
        CHECK(next.state() == JobState::Failed);
    }
    SECTION("but not if the worker answers and the start never reached it")
    {
        Successor next(owner, 1);
        next.report(SchedulerFixture::first, {});
        next.report(SchedulerFixture::second, {});
        CHECK(next.runForTwoSeconds().size() == 1);
        CHECK(next.recordedCrashes().crashes().size() == 1);
    }
}

TEST_CASE("The crashes under all members of a gang count together")
{
    StepSpec gang = SchedulerFixture::step(2, wholeWorker);
    gang.isGang = true;
    SchedulerFixture owner({ 1, 0, Core::Instant() });
    owner.report(SchedulerFixture::first, {});
    owner.report(SchedulerFixture::second, {});
    owner.runForTwoSeconds();
    owner.submit(gang);

    // In turn each of the workers crashes under the member that runs there, and the other member
    // ends without it.
    for (int crash = 0; crash < 2; ++crash) {
        const std::vector<StartCommand> starts = owner.runForTwoSeconds();
        REQUIRE(starts.size() == 2);
        const StartCommand &crashing = starts[static_cast<std::size_t>(crash)];
        const StartCommand &other = starts[static_cast<std::size_t>(1 - crash)];
        owner.restart(crashing.worker);
        owner.report(crashing.worker, {});
        // The new process is used once it has answered with a higher token.
        owner.commit();
        owner.report(crashing.worker, {});
        owner.report(other.worker,
                     { { crash + 1, other.task, other.run, EndKind::GangBroken, "" } });
    }
    CHECK(owner.runForTwoSeconds().empty());
    CHECK(owner.state() == JobState::Failed);
}

TEST_CASE("A suspect runs where no other run could be the cause of a crash")
{
    Site owner;
    owner.crashOnce();
    REQUIRE(owner.runForTwoSeconds().size() == 1);
    owner.submit(SchedulerFixture::step(1, 0), "small");

    SECTION("so its worker gets no other task until a report shows that it has survived its start")
    {
        CHECK(owner.runForTwoSeconds().empty());
        owner.reportAll(0);
        CHECK(owner.runForTwoSeconds().size() == 1);
    }
}

TEST_CASE("A run that was at work is excused if other workers crashed along with its own")
{
    SchedulerFixture owner({ 1, 0, Core::Instant() });
    owner.report(SchedulerFixture::first, {});
    owner.report(SchedulerFixture::second, {});
    owner.runForTwoSeconds();
    owner.submit(SchedulerFixture::step(2, wholeWorker));
    const std::vector<StartCommand> starts = owner.runForTwoSeconds();
    REQUIRE(starts.size() == 2);
    owner.reportAll(0);
    const StartCommand &crashing = starts.front();
    REQUIRE(crashing.task == SchedulerFixture::task(0));

    SECTION("so five such losses don't end the job")
    {
        owner.failRenewal(starts.back().worker);
        owner.failRenewal(crashing.worker);
        owner.answerAsOtherIncarnation(crashing.worker, crashing.address);
        owner.commit();
        CHECK(owner.recordedCrashes().lostRuns().empty());
        CHECK(owner.recordedCrashes().excusedRuns().size() == 1);
    }
    SECTION("but not if its worker alone has crashed")
    {
        owner.failRenewal(crashing.worker);
        owner.answerAsOtherIncarnation(crashing.worker, crashing.address);
        owner.commit();
        CHECK(owner.recordedCrashes().lostRuns().size() == 1);
        CHECK(owner.recordedCrashes().excusedRuns().empty());
    }
}

TEST_CASE("A run that was at work is excused if its worker crashed under an isolated suspect")
{
    SchedulerFixture owner({ 1, 0, Core::Instant() });
    owner.report(SchedulerFixture::first, {});
    owner.report(SchedulerFixture::second, {});
    owner.runForTwoSeconds();
    owner.submit(SchedulerFixture::step(1, 0), "crashing");
    const std::vector<StartCommand> crashing = owner.runForTwoSeconds();
    REQUIRE(crashing.size() == 1);
    owner.setCapacity(crashing.front().worker, -1);
    owner.submit(SchedulerFixture::step(1));
    const std::vector<StartCommand> other = owner.runForTwoSeconds();
    REQUIRE(other.size() == 1);
    REQUIRE(other.front().worker != crashing.front().worker);
    owner.report(other.front().worker, {},
                 { { other.front().task, other.front().run, "", 10, 0 } });

    owner.answerAsOtherIncarnation(crashing.front().worker, crashing.front().address);
    const std::vector<StartCommand> isolated = owner.runForTwoSeconds();
    REQUIRE(isolated.size() == 1);
    REQUIRE(isolated.front().worker == other.front().worker);
    owner.answerAsOtherIncarnation(isolated.front().worker, isolated.front().address);
    owner.commit();
    CHECK(owner.recordedCrashes().lostRuns().empty());
    CHECK(owner.recordedCrashes().excusedRuns().size() == 1);
}
