#include "Scenario.h"

#include <rapidcheck/catch.h>

using namespace std::chrono_literals;

namespace Lease {

static void checkInvariants(const SimulationSettings &settings)
{
    const Scenario scenario = *scenarios();
    LeaseSimulation simulation(settings, scenario.seed);
    runScenario(simulation, scenario, settings.positions);
    RC_LOG(simulation.violation());
    RC_ASSERT(simulation.violation().empty());

    constexpr int everyFourth = 4;
    if (scenario.seed % everyFourth != 0)
        return;
    // Waits for appends that are still delayed.
    simulation.heal();
    simulation.advance(3s);
    for (int position = 0; position < settings.positions; ++position)
        simulation.start(position, false);
    // The slowest takeover: no incarnation in the log is left, so the takeover waits for
    // logSilenceBound.
    simulation.advance(settings.lease.logSilenceBound + 5 * settings.lease.leaseLength);
    RC_LOG(simulation.violation());
    RC_ASSERT(simulation.violation().empty());
    RC_ASSERT(simulation.holder() >= 0);

    // By now the reservations of dead VMs have been released, and all slots are in use.
    simulation.freezeDemand();
    simulation.advance(2 * settings.membership.minimumShareDuration + 5s);
    ShareLimit sum;
    for (int position = 0; position < settings.positions; ++position) {
        sum.slots += simulation.shareLimit(position).slots;
        sum.connections += simulation.shareLimit(position).connections;
    }
    RC_ASSERT(sum == (ShareLimit { 8, 64 }));
}

TEST_CASE("At most one VM of a failure domain places, and shares stay within limits")
{
    for (const int positions : { 2, 3, 4 }) {
        SimulationSettings settings = stressSettings();
        settings.positions = positions;
        rc::prop("with " + std::to_string(positions)
                     + " VMs under partitions, pauses, late appends and restarts",
                 [&] { checkInvariants(settings); });
    }
}

TEST_CASE("A restarted process with a fast clock waits for its earlier incarnation's requests")
{
    // Guards against a restarted process that uses its shares too early because its clock runs
    // fast. Found by an exploration run with seed 23 instead of the fixed seed.
    SimulationSettings settings = stressSettings();
    settings.positions = 2;
    LeaseSimulation simulation(settings, 49266608);
    runScenario(simulation, { 49266608, { { Fault::None, 0, 140 }, { Fault::Restart, 0, 20 } } },
                2);
    CHECK(simulation.violation().empty());
}

} // namespace Lease
