#include "Scenario.h"

#include <catch2/catch.hpp>

namespace Lease {

static constexpr int runLimit = 500;
/// Enough runs to find a violation without any one of the rules below; most need far fewer.
static constexpr int runLimitWithoutRule = 2000;

static bool &guardOf(SimulationSettings &settings, bool LeaseManagerUnderTest::Guards::*guard)
{
    return settings.leaseGuards.*guard;
}

static bool &guardOf(SimulationSettings &settings, bool MembershipManagerUnderTest::Guards::*guard)
{
    return settings.membershipGuards.*guard;
}

template<typename Guard>
static void checkThatRuleIsNeeded(Guard guard, const rc::Gen<Scenario> &generator = scenarios())
{
    SimulationSettings settings = stressSettings();
    guardOf(settings, guard) = false;
    const std::string violation = findViolation(settings, generator, runLimitWithoutRule);
    CHECK_FALSE(violation.empty());
    WARN("without the rule: " << violation);
}

TEST_CASE("With all rules enabled, no generated scenario violates an invariant")
{
    const SimulationSettings settings = stressSettings();
    CHECK(findViolation(settings, scenarios(), runLimit).empty());
    CHECK(findViolation(settings, healsAfterClaim(), runLimit).empty());
    CHECK(findViolation(settings, restartsAfterClaim(), runLimit).empty());
    CHECK(findViolation(settings, cutsWhileJoining(), runLimit).empty());
    CHECK(findViolation(settings, cutsPeersAndLogWhileJoining(), runLimit).empty());
    CHECK(findViolation(settings, cutsWhileResponsesAreLate(), runLimit).empty());
    CHECK(findViolation(settings, pausesThenCuts(), runLimit).empty());
}

TEST_CASE("Each lease rule is needed: without it, random faults violate an invariant")
{
    using Guards = LeaseManagerUnderTest::Guards;
    SECTION("the holder needs the promises of the recorded and of all unconfirmed witness sets")
    {
        checkThatRuleIsNeeded(&Guards::countsUnconfirmedWitnessSets, cutsPeersAndLogWhileJoining());
    }
    SECTION("only recorded witnesses claim the lease without an announced takeover")
    {
        checkThatRuleIsNeeded(&Guards::onlyWitnessesClaim);
    }
    SECTION("a restarted process isn't the witness that its earlier incarnation was")
    {
        checkThatRuleIsNeeded(&Guards::promiseBindsIncarnation, restartsAfterClaim());
    }
    SECTION("a witness whose claim may still be appended refuses promises to the old holder")
    {
        checkThatRuleIsNeeded(&Guards::refusesPromiseWhileClaiming, healsAfterClaim());
    }
    SECTION("the holder counts a promise from the time when it sent the request")
    {
        checkThatRuleIsNeeded(&Guards::promiseStartsAtRequest, cutsWhileResponsesAreLate());
    }
    SECTION("a claimant allows for clock drift")
    {
        checkThatRuleIsNeeded(&Guards::allowsForClockDrift);
    }
    SECTION("a holder that can't cancel a takeover intent stops")
    {
        checkThatRuleIsNeeded(&Guards::openIntentEndsLease);
    }
    SECTION("a holder that can't read the log stops after the bound on the log's silence")
    {
        checkThatRuleIsNeeded(&Guards::logSilenceEndsLease);
    }
    SECTION("a new witness waits until commands sent before it became a witness have expired")
    {
        checkThatRuleIsNeeded(&Guards::newWitnessesWait, cutsWhileJoining());
    }
    SECTION("the lease of a holder without witnesses ends one lease length after its last round")
    {
        checkThatRuleIsNeeded(&Guards::requestLimitsLease);
    }
}

TEST_CASE("Each share rule is needed: without it, a backend server's limits are exceeded")
{
    using Guards = MembershipManagerUnderTest::Guards;
    SECTION("a new view's shares are used only after the old ones are no longer used")
    {
        checkThatRuleIsNeeded(&Guards::waitsForSettledVersion);
    }
    SECTION("the holder waits until the orphaned requests of a dead VM have ended")
    {
        checkThatRuleIsNeeded(&Guards::waitsForActiveRequests);
    }
    SECTION("a member lease starts at the time of the member's own acknowledgement")
    {
        checkThatRuleIsNeeded(&Guards::leaseStartsAtAcknowledgement, pausesThenCuts());
    }
    SECTION("the minimum share of a removed member stays reserved")
    {
        checkThatRuleIsNeeded(&Guards::keepsReservations);
    }
    SECTION("a restarted process waits until the requests of its earlier incarnation have ended")
    {
        checkThatRuleIsNeeded(&Guards::waitsAfterRestart);
    }
}

} // namespace Lease
