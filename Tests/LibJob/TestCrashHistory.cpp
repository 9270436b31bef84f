#include <LibJob/CrashHistory.h>
#include <LibJob/SilentWorkers.h>

#include <catch2/catch.hpp>

using namespace Jobs;
using std::chrono::milliseconds;

namespace {

SuspectedCrash crash(std::int64_t run, bool wasOnlySuspect)
{
    return { Core::VmId("w" + std::to_string(run)), run, wasOnlySuspect };
}

RunInDoubt doubt(std::int64_t run)
{
    return { run, Core::VmId("w1"), "10.0.0.1:80", 1, true };
}

Core::Instant at(int ms)
{
    return Core::Instant(milliseconds(100'000 + ms));
}

} // namespace

TEST_CASE("A task is given up for the crashes in its history")
{
    const CrashHistory none;
    CHECK(none.isEmpty());
    CHECK_FALSE(none.isSuspect());

    SECTION("after two of which it was the only suspect")
    {
        const CrashHistory once = none.withCrash(crash(1, true));
        CHECK(once.isSuspect());
        CHECK_FALSE(once.isToBeGivenUp());
        CHECK(once.withCrash(crash(2, true)).isToBeGivenUp());
        CHECK_FALSE(once.withCrash(crash(2, false)).isToBeGivenUp());
    }
    SECTION("or three of which it was one suspect")
    {
        const CrashHistory twice = none.withCrash(crash(1, false)).withCrash(crash(2, false));
        CHECK_FALSE(twice.isToBeGivenUp());
        CHECK(twice.withCrash(crash(3, false)).isToBeGivenUp());
    }
    SECTION("or five in which it lost a run")
    {
        CrashHistory history;
        for (std::int64_t run = 1; run < 5; ++run)
            history = history.withLostRun(run);
        CHECK_FALSE(history.isSuspect());
        CHECK_FALSE(history.isToBeGivenUp());
        CHECK(history.withLostRun(5).isToBeGivenUp());
    }
    SECTION("or ten, if all were excused by other crashes")
    {
        CrashHistory history;
        for (std::int64_t run = 1; run < 10; ++run)
            history = history.withExcusedRun(run);
        CHECK_FALSE(history.isSuspect());
        CHECK_FALSE(history.isToBeGivenUp());
        CHECK(history.withExcusedRun(10).isToBeGivenUp());
        CHECK(history.withLostRun(10).isToBeGivenUp());
    }
    SECTION("but a run counts once, whoever reports its crash")
    {
        const CrashHistory once = none.withLostRun(1).withCrash(crash(1, false));
        CHECK(once.withCrash(crash(1, true)).withLostRun(1) == none.withCrash(crash(1, true)));
        CHECK(none.withLostRun(1).withExcusedRun(1) == none.withLostRun(1));
        CHECK(none.withExcusedRun(1).withCrash(crash(1, true)) == none.withCrash(crash(1, true)));
    }
    SECTION("and those of a gang's members count together, once for each of its runs")
    {
        const CrashHistory first = none.withCrash(crash(1, false)).withCrash(crash(2, false));
        const CrashHistory second = none.withCrash(crash(2, false));
        CHECK_FALSE(first.mergedWith(second).isToBeGivenUp());
        CHECK(first.mergedWith(second.withCrash(crash(3, false))).isToBeGivenUp());
    }
}

TEST_CASE("A run in doubt makes its task a suspect until the doubt is settled")
{
    const CrashHistory history = CrashHistory().withRunInDoubt(doubt(4));
    CHECK(history.isSuspect());
    CHECK_FALSE(history.isToBeGivenUp());

    SECTION("because the worker answers")
    {
        CHECK(history.withoutRunInDoubt().isEmpty());
    }
    SECTION("because the worker has crashed under it")
    {
        CHECK(history.withCrash(crash(4, true)) == CrashHistory().withCrash(crash(4, true)));
    }
    SECTION("but not by the crash under another run")
    {
        CHECK(history.withCrash(crash(3, true)).runInDoubt() == doubt(4));
    }
}

TEST_CASE("Crashes with a common cause are told from those by tasks")
{
    SilentWorkers silent;
    const Core::VmId first("w1");

    constexpr std::size_t workerCount = 48;

    SECTION("by a worker that stopped answering although its runs had been at work")
    {
        silent.note(Core::VmId("w2"), at(900), Suspicion::None);
        CHECK(silent.hasOtherAboveSuspicion(first, at(0)));
        CHECK_FALSE(silent.hasOtherAboveSuspicion(first, at(2000)));
    }
    SECTION("but not by one that a task may have crashed as well")
    {
        silent.note(Core::VmId("w2"), at(0), Suspicion::StartingRuns);
        CHECK_FALSE(silent.hasOtherAboveSuspicion(first, at(0)));
        CHECK_FALSE(silent.isOneOfMany(first, at(0), workerCount));
        CHECK(silent.hasOther(first, at(0)));
    }
    SECTION("by several that stopped answering at the same moment")
    {
        silent.note(Core::VmId("w2"), at(0), Suspicion::StartingRuns);
        silent.note(Core::VmId("w3"), at(100), Suspicion::NoRuns);
        CHECK(silent.isOneOfMany(first, at(50), workerCount));
        CHECK_FALSE(silent.isOneOfMany(first, at(500), workerCount));
        SECTION("which are more on a large site")
        {
            CHECK_FALSE(silent.isOneOfMany(first, at(50), 1100));
        }
    }
    SECTION("but not by those under whose isolated suspects they may have crashed")
    {
        silent.note(Core::VmId("w2"), at(0), Suspicion::IsolatedRun);
        silent.note(Core::VmId("w3"), at(100), Suspicion::IsolatedRun);
        CHECK_FALSE(silent.isOneOfMany(first, at(50), workerCount));
    }
    SECTION("and a worker isn't a witness for itself")
    {
        silent.note(first, at(0), Suspicion::None);
        CHECK_FALSE(silent.hasOther(first, at(0)));
        CHECK_FALSE(silent.hasOtherAboveSuspicion(first, at(0)));
    }
}
