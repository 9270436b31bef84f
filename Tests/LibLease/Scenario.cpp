#include "Scenario.h"

namespace Lease {

using namespace std::chrono_literals;

std::ostream &operator<<(std::ostream &stream, const Scenario &scenario)
{
    stream << "seed " << scenario.seed;
    for (const Step &step : scenario.steps)
        stream << ", {" << static_cast<int>(step.fault) << ' ' << step.argument << ' '
               << step.milliseconds << " ms}";
    return stream;
}

static rc::Gen<Step> steps()
{
    const auto faults = rc::gen::weightedElement<Fault>({ { 3, Fault::None },
                                                          { 4, Fault::CutPeers },
                                                          { 4, Fault::CutLog },
                                                          { 2, Fault::LogOutage },
                                                          { 4, Fault::CutPeersAndLog },
                                                          { 4, Fault::CutPeersAndAppends },
                                                          { 4, Fault::UnreliableNetwork },
                                                          { 3, Fault::Heal },
                                                          { 3, Fault::Pause },
                                                          { 3, Fault::Restart },
                                                          { 3, Fault::Replace },
                                                          { 1, Fault::ReplaceAll },
                                                          { 1, Fault::Release } });
    return rc::gen::construct<Step>(faults, rc::gen::inRange(0U, 16U), rc::gen::inRange(20, 1500));
}

rc::Gen<Scenario> scenarios()
{
    const auto seeds = rc::gen::noShrink(rc::gen::inRange<std::uint32_t>(1, 1U << 30U));
    return rc::gen::construct<Scenario>(
        seeds, rc::gen::scale(0.4, rc::gen::container<std::vector<Step>>(steps())));
}

SimulationSettings stressSettings()
{
    SimulationSettings settings;
    settings.lease.leaseLength = 500ms;
    settings.lease.renewInterval = 150ms;
    settings.lease.witnessTimeout = 320ms;
    settings.lease.joinDelay = 200ms;
    settings.lease.claimDelay = 40ms;
    settings.lease.appendRetryDelay = 250ms;
    settings.lease.maximumLogAge = 500ms;
    settings.lease.logSilenceBound = 1500ms;
    settings.lease.driftPerThousand = 100;
    settings.clockRateSpread = 4500;
    settings.logLatency = 1ms;
    settings.lease.snapshotInterval = 5s;
    settings.membership.memberLeaseLength = 800ms;
    settings.membership.minimumShareDuration = 3s;
    settings.membership.maximumRequestDuration = 1500ms;
    settings.membership.weightUpdateInterval = 300ms;
    settings.hasChangingDemand = true;
    return settings;
}

static void apply(LeaseSimulation &simulation, const Step &step, int positions)
{
    const int position = static_cast<int>(step.argument) % positions;
    const int other = static_cast<int>(step.argument) / positions % positions;
    switch (step.fault) {
    case Fault::None:
        return;
    case Fault::CutPeers:
        return simulation.cutPeers(step.argument);
    case Fault::CutLog:
        return simulation.cutLog(step.argument);
    case Fault::LogOutage:
        return simulation.setLogOutage(step.argument % 2 == 0);
    case Fault::UnreliableNetwork:
        return simulation.setUnreliableNetwork(step.argument % 4 != 0);
    case Fault::CutPeersAndLog:
        simulation.cutPeers(1U << position);
        return simulation.cutLog(1U << other);
    case Fault::CutPeersAndAppends:
        simulation.cutPeers(1U << position);
        return simulation.cutAppends(1U << other);
    case Fault::Heal:
        return simulation.heal();
    case Fault::Pause:
        return simulation.pause(position, std::chrono::milliseconds(100 * (1 + step.argument)));
    case Fault::Restart:
        return simulation.start(position, false);
    case Fault::Replace:
        return simulation.start(position, true);
    case Fault::ReplaceAll:
        for (int each = 0; each < positions; ++each)
            simulation.start(each, true);
        return;
    case Fault::Release:
        return simulation.release(position);
    }
}

/// The time after the last fault, during which late appends arrive and active requests end.
static constexpr Core::Duration settlingTime = 3s;

void runScenario(LeaseSimulation &simulation, const Scenario &scenario, int positions)
{
    simulation.advance(1500ms);
    for (const Step &step : scenario.steps) {
        apply(simulation, step, positions);
        simulation.advance(std::chrono::milliseconds(step.milliseconds));
    }
    simulation.advance(settlingTime);
}

std::string findViolation(const SimulationSettings &settings, const rc::Gen<Scenario> &generator,
                          int runCount)
{
    constexpr int size = 100;
    for (int seed = 0; seed < runCount; ++seed) {
        const Scenario scenario = generator(rc::Random(seed), size).value();
        LeaseSimulation simulation(settings, scenario.seed);
        runScenario(simulation, scenario, settings.positions);
        if (!simulation.violation().empty())
            return simulation.violation() + " in run " + std::to_string(seed);
    }
    return {};
}

/// Scenarios with the given steps, each with a random duration up to the given one.
static rc::Gen<Scenario> scenariosOf(const std::vector<Step> &steps)
{
    const auto seeds = rc::gen::inRange<std::uint32_t>(1, 1U << 30U);
    return rc::gen::map(seeds, [steps](std::uint32_t seed) {
        Scenario scenario { seed, steps };
        std::mt19937 random(seed);
        for (Step &step : scenario.steps)
            step.milliseconds = std::uniform_int_distribution<int>(1, step.milliseconds)(random);
        return scenario;
    });
}

// In the following scenarios with three VMs, position 0 holds the lease first, and position 1 is a
// witness.
rc::Gen<Scenario> healsAfterClaim()
{
    return scenariosOf({ { Fault::UnreliableNetwork, 1, 20 },
                         { Fault::CutPeersAndLog, 1, 1500 },
                         { Fault::CutPeers, 0, 3000 } });
}

rc::Gen<Scenario> restartsAfterClaim()
{
    return scenariosOf({ { Fault::UnreliableNetwork, 1, 20 },
                         { Fault::CutPeersAndLog, 1, 1500 },
                         { Fault::Restart, 1, 50 },
                         { Fault::CutPeers, 0, 3000 } });
}

rc::Gen<Scenario> cutsWhileJoining()
{
    return scenariosOf({ { Fault::UnreliableNetwork, 1, 20 },
                         { Fault::Replace, 1, 800 },
                         { Fault::CutPeers, 1U << 1U, 1500 },
                         { Fault::Heal, 0, 1500 },
                         { Fault::UnreliableNetwork, 1, 20 },
                         { Fault::Replace, 2, 800 },
                         { Fault::CutPeers, 1U << 2U, 1500 } });
}

rc::Gen<Scenario> cutsPeersAndLogWhileJoining()
{
    return scenariosOf({ { Fault::UnreliableNetwork, 1, 20 },
                         { Fault::Replace, 1, 900 },
                         { Fault::CutPeersAndLog, 1, 2000 } });
}

rc::Gen<Scenario> cutsWhileResponsesAreLate()
{
    return scenariosOf(
        { { Fault::UnreliableNetwork, 1, 500 }, { Fault::CutPeersAndLog, 1, 2000 } });
}

rc::Gen<Scenario> pausesThenCuts()
{
    return scenariosOf({ { Fault::Pause, 1 + 3 * 4, 700 }, { Fault::CutPeers, 1U << 1U, 4000 } });
}

} // namespace Lease
