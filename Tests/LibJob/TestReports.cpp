#include "TwoWorkers.h"

#include <catch2/catch.hpp>

using namespace Jobs;

namespace {

/// The second owner of a site, which takes over a job that ran on both workers.
class Successor : public TwoWorkers
{
public:
    Successor(const StepSpec &step, int mostAttempts)
        : TwoWorkers({ 2, 1, Core::Instant(std::chrono::minutes(1)) })
    {
        takeOver(step, mostAttempts);
    }
};

} // namespace

TEST_CASE("An owner counts the failed runs that its predecessor couldn't record")
{
    const EndedEntry first = TwoWorkers::end(1, 0, 1, EndKind::Failed);
    const EndedEntry second = TwoWorkers::end(1, 0, 2, EndKind::Failed);

    SECTION("when two attempts are all that a task has")
    {
        Successor owner(TwoWorkers::step(1), 2);
        SECTION("the first is reported first")
        {
            owner.report(TwoWorkers::first, { first });
            owner.report(TwoWorkers::second, { second });
        }
        SECTION("the second is reported first")
        {
            owner.report(TwoWorkers::second, { second });
            owner.report(TwoWorkers::first, { first });
        }
        CHECK(owner.settle().empty());
        CHECK(owner.state() == JobState::Failed);
    }
    SECTION("when one attempt is left")
    {
        Successor owner(TwoWorkers::step(1), 3);
        SECTION("each counts once, however often it is reported")
        {
            owner.report(TwoWorkers::second, { second });
            owner.report(TwoWorkers::first, { first });
            owner.report(TwoWorkers::second, { second });
            const std::vector<StartCommand> starts = owner.settle();
            REQUIRE(starts.size() == 1);
            CHECK(starts.front().run == 1001);
        }
        SECTION("the last attempt may be under way already")
        {
            owner.report(TwoWorkers::second, { second },
                         { { TwoWorkers::task(0), 3, "", 10, 500 } });
            owner.report(TwoWorkers::first, { first });
            CHECK(owner.settle().empty());
            owner.report(TwoWorkers::second, { TwoWorkers::end(2, 0, 3, EndKind::Failed) });
            CHECK(owner.settle().empty());
            CHECK(owner.state() == JobState::Failed);
        }
    }
}

TEST_CASE("A gang fails as one")
{
    StepSpec step = TwoWorkers::step(2);
    step.isGang = true;
    Successor owner(step, 2);

    SECTION("one failed member is enough in each run, whichever it is")
    {
        owner.report(TwoWorkers::first, { TwoWorkers::end(1, 0, 1, EndKind::Failed) });
        owner.report(TwoWorkers::second,
                     { TwoWorkers::end(1, 1, 1, EndKind::GangBroken),
                       TwoWorkers::end(2, 1, 2, EndKind::Failed) });
        CHECK(owner.settle().empty());
        CHECK(owner.state() == JobState::Failed);
    }
    SECTION("two failed members of one run are one attempt")
    {
        owner.report(TwoWorkers::first, { TwoWorkers::end(1, 0, 1, EndKind::Failed) });
        owner.report(TwoWorkers::second, { TwoWorkers::end(1, 1, 1, EndKind::Failed) });
        CHECK(owner.settle().size() == 2);
        CHECK(owner.state() == JobState::Running);
    }
}

TEST_CASE("A worker that has more ends than fit into a report is read to the last one")
{
    // The former owner was long out of reach: the end that matters is the last.
    std::vector<EndedEntry> page;
    for (int number = 1; number <= static_cast<int>(WorkerReport::mostEnds); ++number)
        page.push_back({ number, { JobId("other"), 0, 0, number }, 1, EndKind::Done, "" });
    const auto last = static_cast<std::int64_t>(page.size()) + 1;

    Successor owner(TwoWorkers::step(1), 2);
    owner.report(TwoWorkers::first, {});
    owner.report(TwoWorkers::second, page);
    CHECK(owner.settle().empty());
    CHECK(owner.acknowledgedEnd(TwoWorkers::second) == last - 1);
    owner.report(TwoWorkers::second, { TwoWorkers::end(last, 0, 1, EndKind::Done) });
    CHECK(owner.settle().empty());
    CHECK(owner.state() == JobState::Completed);
}

TEST_CASE("A submission that is read again when its job has ended starts no task twice")
{
    TwoWorkers owner({ 1, 0, Core::Instant() });
    owner.report(TwoWorkers::first, {});
    owner.report(TwoWorkers::second, {});
    owner.settle();
    const StepSpec step = TwoWorkers::step(1);
    owner.submit(step);
    REQUIRE(owner.settle().size() == 1);
    owner.endTask(TwoWorkers::task(0), EndKind::Done);
    owner.reportAll(0);
    REQUIRE(owner.settle().empty());
    REQUIRE(owner.state() == JobState::Completed);

    owner.readSubmissionAgain(step);
    CHECK(owner.settle().empty());
    CHECK(owner.state() == JobState::Completed);
}
