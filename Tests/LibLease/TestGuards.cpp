#include "Scenario.h"

#include <catch2/catch.hpp>

namespace Lease {

static constexpr int runLimit = 500;
/// Enough runs for every one of the naive variants below; most need far fewer.
static constexpr int naiveRunLimit = 2000;

static bool &guardOf(SimulationSettings &settings, bool GuardedLease::Guards::*guard)
{
    return settings.leaseGuards.*guard;
}

static bool &guardOf(SimulationSettings &settings, bool GuardedMembership::Guards::*guard)
{
    return settings.membershipGuards.*guard;
}

template<typename Guard>
static void checkThatItIsNeeded(Guard guard, const rc::Gen<Scenario> &generator = scenarios())
{
    SimulationSettings settings = roughSettings();
    guardOf(settings, guard) = false;
    const std::string violation = findViolation(settings, generator, naiveRunLimit);
    CHECK_FALSE(violation.empty());
    WARN("without it: " << violation);
}

TEST_CASE("With all rules the runs that break the naive variants break nothing")
{
    const SimulationSettings settings = roughSettings();
    CHECK(findViolation(settings, scenarios(), runLimit).empty());
    CHECK(findViolation(settings, healsAfterClaim(), runLimit).empty());
    CHECK(findViolation(settings, restartsAfterClaim(), runLimit).empty());
    CHECK(findViolation(settings, cutsWhileJoining(), runLimit).empty());
    CHECK(findViolation(settings, dividesWhileJoining(), runLimit).empty());
    CHECK(findViolation(settings, cutsWhileAnswersAreLate(), runLimit).empty());
    CHECK(findViolation(settings, freezesThenCuts(), runLimit).empty());
}

TEST_CASE("Each rule of the lease is needed: without it the random faults break an invariant")
{
    using Guards = GuardedLease::Guards;
    SECTION("a set change in doubt counts twice")
    {
        checkThatItIsNeeded(&Guards::doubtCountsTwice, dividesWhileJoining());
    }
    SECTION("only recorded witnesses claim")
    {
        checkThatItIsNeeded(&Guards::onlyWitnessesClaim);
    }
    SECTION("a restarted process isn't the witness that it was")
    {
        checkThatItIsNeeded(&Guards::promiseBindsOneRun, restartsAfterClaim());
    }
    SECTION("a witness whose claim may land promises nothing to the old holder")
    {
        checkThatItIsNeeded(&Guards::withdrawalLasts, healsAfterClaim());
    }
    SECTION("the holder counts from before it asked")
    {
        checkThatItIsNeeded(&Guards::countsFromRequest, cutsWhileAnswersAreLate());
    }
    SECTION("a claimant allows for drift")
    {
        checkThatItIsNeeded(&Guards::allowsForDrift);
    }
    SECTION("a holder that can't answer an intent stops")
    {
        checkThatItIsNeeded(&Guards::intentStopsClock);
    }
    SECTION("a holder that doesn't read the log stops in the end")
    {
        checkThatItIsNeeded(&Guards::silenceEndsLease);
    }
    SECTION("a new witness waits for the commands that were given before it was named")
    {
        checkThatItIsNeeded(&Guards::newWitnessesWait, cutsWhileJoining());
    }
    SECTION("the deadline of a holder without witnesses is one lease length away")
    {
        checkThatItIsNeeded(&Guards::ownPromiseCounts);
    }
}

TEST_CASE("Each rule of the shares is needed: without it a backend server's limits are exceeded")
{
    using Guards = GuardedMembership::Guards;
    SECTION("a new view's shares are used only after the old ones are out of use")
    {
        checkThatItIsNeeded(&Guards::waitsForSettlement);
    }
    SECTION("requests that a dead VM left behind are waited for")
    {
        checkThatItIsNeeded(&Guards::waitsForRequests);
    }
    SECTION("a member lease runs from the member's own stamp")
    {
        checkThatItIsNeeded(&Guards::leaseRunsFromStamp, freezesThenCuts());
    }
    SECTION("the floor of a dropped member stays reserved")
    {
        checkThatItIsNeeded(&Guards::reservesFloors);
    }
    SECTION("a restarted process waits for the requests of its former run")
    {
        checkThatItIsNeeded(&Guards::waitsAfterRestart);
    }
}

} // namespace Lease
