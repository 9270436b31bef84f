#include <LibSite/StartHold.h>

#include <catch2/catch.hpp>

using namespace Site;
using std::chrono::milliseconds;

TEST_CASE("Starts are held while a copy is too old for what it may forbid")
{
    const Core::Instant provenAt(std::chrono::seconds(100));
    const Core::Duration drainTime = milliseconds(4000);
    CopyTimes copies { provenAt, provenAt, provenAt };
    bool hasCustomerLimits = false;
    const auto areHeld
        = [&] { return areCopiesTooOldForStarts(copies, provenAt, drainTime, hasCustomerLimits); };
    CHECK_FALSE(areHeld());

    SECTION("that of the operators' records after 3 s")
    {
        copies.operators = provenAt - milliseconds(3000);
        CHECK_FALSE(areHeld());
        copies.operators = provenAt - milliseconds(3001);
        CHECK(areHeld());
    }
    // With 3 s, a lowered limit would be exceeded by starts that are sent 3.8 s after its
    // acknowledgement.
    SECTION("or after 2.2 s if customers have limits")
    {
        hasCustomerLimits = true;
        copies.operators = provenAt - milliseconds(2200);
        CHECK_FALSE(areHeld());
        copies.operators = provenAt - milliseconds(2201);
        CHECK(areHeld());
    }
    SECTION("that of the jobs after 2 s")
    {
        copies.jobs = provenAt - milliseconds(2000);
        CHECK_FALSE(areHeld());
        copies.jobs = provenAt - milliseconds(2001);
        CHECK(areHeld());
    }
    SECTION("that of the workers before the drain time is over")
    {
        copies.workers = provenAt - milliseconds(3200);
        CHECK_FALSE(areHeld());
        copies.workers = provenAt - milliseconds(3201);
        CHECK(areHeld());
    }
    SECTION("that of the workers for as long as two reads may be apart, however short that time is")
    {
        copies.workers = provenAt - milliseconds(700);
        CHECK_FALSE(areCopiesTooOldForStarts(copies, provenAt, milliseconds(0)));
        copies.workers = provenAt - milliseconds(701);
        CHECK(areCopiesTooOldForStarts(copies, provenAt, milliseconds(0)));
    }
    SECTION("and before it was complete once")
    {
        copies.jobs.reset();
        CHECK(areHeld());
    }
}
