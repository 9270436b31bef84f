#include "Scenario.h"

#include <rapidcheck/catch.h>

using namespace std::chrono_literals;

namespace Lease {

static void checkInvariants(const SimulationSettings &settings)
{
    const Scenario scenario = *scenarios();
    LeaseSimulation world(settings, scenario.seed);
    run(world, scenario, settings.positions);
    RC_LOG(world.violation());
    RC_ASSERT(world.violation().empty());

    constexpr int everyFourth = 4;
    if (scenario.seed % everyFourth != 0)
        return;
    // Appends may land late for a while.
    world.heal();
    world.advance(3s);
    for (int position = 0; position < settings.positions; ++position)
        world.start(position, false);
    // The longest way: nobody that the log names is left.
    world.advance(settings.lease.logSilenceBound + 5 * settings.lease.leaseLength);
    RC_LOG(world.violation());
    RC_ASSERT(world.violation().empty());
    RC_ASSERT(world.holder() >= 0);

    // Seats of the dead are free by then, and nothing is withheld.
    world.keepDemand();
    world.advance(2 * settings.membership.minimumShareDuration + 5s);
    ShareLimit sum;
    for (int position = 0; position < settings.positions; ++position) {
        sum.slots += world.limit(position).slots;
        sum.connections += world.limit(position).connections;
    }
    RC_ASSERT(sum == (ShareLimit { 8, 64 }));
}

TEST_CASE("At most one VM of a failure domain places, and shares stay within limits")
{
    for (const int positions : { 2, 3, 4 }) {
        SimulationSettings settings = roughSettings();
        settings.positions = positions;
        rc::prop("with " + std::to_string(positions)
                     + " VMs under cuts, pauses, late appends, restarts",
                 [&] { checkInvariants(settings); });
    }
}

TEST_CASE("A restarted process with a fast clock waits for its former run's requests")
{
    // Found by exploration with seed 23 in place of the fixed one.
    SimulationSettings settings = roughSettings();
    settings.positions = 2;
    LeaseSimulation world(settings, 49266608);
    run(world, { 49266608, { { Fault::None, 0, 140 }, { Fault::Restart, 0, 20 } } }, 2);
    CHECK(world.violation().empty());
}

} // namespace Lease
