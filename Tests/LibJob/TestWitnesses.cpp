#include "SchedulerFixture.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace Jobs;

namespace {

/// The first owner of a site.
class Site : public SchedulerFixture
{
public:
    Site()
        : SchedulerFixture({ 1, 0, Core::Instant() })
    {
        report(first, {});
        report(second, {});
        runForTwoSeconds();
    }

    /// All tasks start on one worker, which crashes and comes back before a report has listed them.
    void crashUnderAllTasks()
    {
        const std::vector<StartCommand> starts = runForTwoSeconds();
        REQUIRE_FALSE(starts.empty());
        for (const StartCommand &start : starts)
            REQUIRE(start.worker == starts.front().worker);
        crash(starts.front());
    }
    /// The worker of the start crashes and comes back.
    void crash(const StartCommand &start)
    {
        answerAsOtherIncarnation(start.worker, start.address);
        plan();
        restart(start.worker);
        report(start.worker, {});
    }
};

} // namespace

TEST_CASE("An idle worker is asked while a suspect runs on another one")
{
    Site owner;
    owner.submit(SchedulerFixture::step(1));
    owner.crashUnderAllTasks();
    const std::vector<StartCommand> isolated = owner.runForTwoSeconds();
    REQUIRE(isolated.size() == 1);
    const Core::VmId &suspected = isolated.front().worker;
    const Core::VmId &idle
        = suspected == SchedulerFixture::first ? SchedulerFixture::second : SchedulerFixture::first;
    REQUIRE(owner.isRenewalDue(idle));

    SECTION("so a crash of both isn't blamed on the suspect")
    {
        owner.failRenewal(idle);
        owner.failRenewal(suspected);
        owner.crash(isolated.front());
        owner.plan();
        owner.commit();
        CHECK(owner.recordedCrashes().crashes().size() == 1);
        CHECK(owner.recordedCrashes().lostRuns().size() == 2);
    }
    SECTION("but a crash of the suspect's worker alone is")
    {
        owner.report(idle, {});
        owner.failRenewal(suspected);
        owner.crash(isolated.front());
        owner.plan();
        owner.commit();
        // The second crash that counts ends the job, and its history with it.
        CHECK(owner.state() == JobState::Failed);
    }
    SECTION("and no longer once the suspect has survived its start")
    {
        owner.reportAll(0);
        owner.runForTwoSeconds();
        owner.runForTwoSeconds();
        owner.report(idle, {});
        owner.runForTwoSeconds();
        CHECK_FALSE(owner.isRenewalDue(idle));
    }
}
