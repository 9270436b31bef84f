#include "FaultyWorld.h"

#include <rapidcheck/catch.h>

using RoutingWorld::Fault;
using RoutingWorld::FaultyWorld;
using RoutingWorld::Flaw;
using RoutingWorld::Violation;

namespace {

constexpr int longestFaultMilliseconds = 4'000;
constexpr int lastFaultMilliseconds = 6'000;

Fault faultOf(int kind, int target, int at, int duration)
{
    return { static_cast<Fault::Kind>(kind), target, at, duration };
}

/// Some faults of every kind, drawn from the seed.
std::vector<Fault> manyFaults(std::uint64_t seed)
{
    Routing::Random random(seed);
    std::vector<Fault> faults;
    constexpr int count = 20;
    const auto below = [&](int bound) {
        return static_cast<int>(random.below(static_cast<std::uint64_t>(bound)));
    };
    for (int number = 0; number < count; ++number) {
        const Fault fault = faultOf(number % static_cast<int>(Fault::Kind::KindCount), below(6),
                                    below(lastFaultMilliseconds), below(longestFaultMilliseconds));
        // A frozen entry VM can't answer in time, so half of the runs go without.
        if (fault.kind != Fault::Kind::FreezeEntry || seed % 2 == 0)
            faults.push_back(fault);
    }
    return faults;
}

/// The connections to one server go silent again and again.
std::vector<Fault> silenceAgainAndAgain()
{
    std::vector<Fault> faults;
    constexpr int interval = 60;
    for (int at = 0; at < lastFaultMilliseconds; at += interval)
        faults.push_back(faultOf(static_cast<int>(Fault::Kind::SilenceConnections), 0, at, 0));
    return faults;
}

bool isFound(Violation violation, Flaw flaw, bool isReusingAbandoned = false)
{
    constexpr std::uint64_t runs = 60;
    for (std::uint64_t seed = 1; seed <= runs; ++seed) {
        FaultyWorld world(seed, flaw);
        world.setReusingAbandoned(isReusingAbandoned);
        const auto faults = violation == Violation::TooManyConnections ? silenceAgainAndAgain()
                                                                       : manyFaults(seed);
        if (world.run(faults).contains(violation))
            return true;
    }
    return false;
}

} // namespace

namespace rc {

template<>
struct Arbitrary<Fault>
{
    static Gen<Fault> arbitrary()
    {
        return gen::apply(faultOf, gen::inRange(0, static_cast<int>(Fault::Kind::KindCount)),
                          gen::inRange(0, 6), gen::inRange(0, lastFaultMilliseconds),
                          gen::inRange(0, longestFaultMilliseconds));
    }
};

} // namespace rc

TEST_CASE("The request path keeps its promises whatever fails")
{
    SECTION("without faults most requests are answered")
    {
        FaultyWorld world(1, Flaw::None);
        CHECK(world.run({}).empty());
        CHECK(world.answered() > 2500);
        CHECK(world.refused() > 500);
        CHECK(world.unknown() < 50);
    }
    SECTION("a run with many faults has all kinds of ends")
    {
        FaultyWorld world(1, Flaw::None);
        CHECK(world.run(manyFaults(1)).empty());
        CHECK(world.answered() > 100);
        CHECK(world.refused() > 10);
        CHECK(world.unknown() > 1);
    }
    SECTION("connections that keep going silent don't add up at the server")
    {
        FaultyWorld world(1, Flaw::None);
        CHECK(world.run(silenceAgainAndAgain()).empty());
    }
    rc::prop("no promise is broken by any sequence of faults",
             [](const std::vector<Fault> &faults, std::uint64_t seed) {
                 FaultyWorld world(seed, Flaw::None);
                 for (const Violation violation : world.run(faults))
                     RC_FAIL(rc::toString(violation));
             });
    SECTION("each promise is seen to be broken by a naive router")
    {
        CHECK(isFound(Violation::RanTwice, Flaw::RetriesNonIdempotent));
        CHECK(isFound(Violation::RefusedButWritten, Flaw::CallsUnknownNotRun));
        CHECK(isFound(Violation::TooManyInWork, Flaw::FreesAbandonedSlots));
        CHECK(isFound(Violation::TooManyConnections, Flaw::IgnoresConnectionShares));
        CHECK(isFound(Violation::SentToLeavingServer, Flaw::IgnoresLeavingServers));
        CHECK(isFound(Violation::NotFinishedOnce, Flaw::FinishesLateAnswersAgain));
        CHECK(isFound(Violation::StuckWhenLeaving, Flaw::StopsAtOnceWhenLeaving));
        CHECK(isFound(Violation::FinishedLate, Flaw::IgnoresDeadlines));
        CHECK(isFound(Violation::WrongAnswer, Flaw::None, true));
    }
}
