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
                                                          { 4, Fault::DivideReads },
                                                          { 4, Fault::DivideAppends },
                                                          { 4, Fault::Rough },
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

SimulationSettings roughSettings()
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

static void apply(LeaseSimulation &world, const Step &step, int positions)
{
    const int position = static_cast<int>(step.argument) % positions;
    const int other = static_cast<int>(step.argument) / positions % positions;
    switch (step.fault) {
    case Fault::None:
        return;
    case Fault::CutPeers:
        return world.cutPeers(step.argument);
    case Fault::CutLog:
        return world.cutLog(step.argument);
    case Fault::LogOutage:
        return world.setLogOutage(step.argument % 2 == 0);
    case Fault::Rough:
        return world.setRough(step.argument % 4 != 0);
    case Fault::DivideReads:
        world.cutPeers(1U << position);
        return world.cutLog(1U << other);
    case Fault::DivideAppends:
        world.cutPeers(1U << position);
        return world.cutAppends(1U << other);
    case Fault::Heal:
        return world.heal();
    case Fault::Pause:
        return world.pause(position, std::chrono::milliseconds(100 * (1 + step.argument)));
    case Fault::Restart:
        return world.start(position, false);
    case Fault::Replace:
        return world.start(position, true);
    case Fault::ReplaceAll:
        for (int each = 0; each < positions; ++each)
            world.start(each, true);
        return;
    case Fault::Release:
        return world.release(position);
    }
}

/// After the last fault, so that late appends and requests in work meet what it led to.
static constexpr Core::Duration settlingTime = 3s;

void run(LeaseSimulation &world, const Scenario &scenario, int positions)
{
    world.advance(1500ms);
    for (const Step &step : scenario.steps) {
        apply(world, step, positions);
        world.advance(std::chrono::milliseconds(step.milliseconds));
    }
    world.advance(settlingTime);
}

std::string findViolation(const SimulationSettings &settings, const rc::Gen<Scenario> &generator,
                          int limit)
{
    constexpr int size = 100;
    for (int seed = 0; seed < limit; ++seed) {
        const Scenario scenario = generator(rc::Random(seed), size).value();
        LeaseSimulation world(settings, scenario.seed);
        run(world, scenario, settings.positions);
        if (!world.violation().empty())
            return world.violation() + " in run " + std::to_string(seed);
    }
    return {};
}

/// The steps with the given faults and arguments, each followed by a random time.
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

// In these worlds of three VMs the first one founds the lease; position 1 is a witness.
rc::Gen<Scenario> healsAfterClaim()
{
    return scenariosOf(
        { { Fault::Rough, 1, 20 }, { Fault::DivideReads, 1, 1500 }, { Fault::CutPeers, 0, 3000 } });
}

rc::Gen<Scenario> restartsAfterClaim()
{
    return scenariosOf({ { Fault::Rough, 1, 20 },
                         { Fault::DivideReads, 1, 1500 },
                         { Fault::Restart, 1, 50 },
                         { Fault::CutPeers, 0, 3000 } });
}

rc::Gen<Scenario> cutsWhileJoining()
{
    return scenariosOf({ { Fault::Rough, 1, 20 },
                         { Fault::Replace, 1, 800 },
                         { Fault::CutPeers, 1U << 1U, 1500 },
                         { Fault::Heal, 0, 1500 },
                         { Fault::Rough, 1, 20 },
                         { Fault::Replace, 2, 800 },
                         { Fault::CutPeers, 1U << 2U, 1500 } });
}

rc::Gen<Scenario> dividesWhileJoining()
{
    return scenariosOf(
        { { Fault::Rough, 1, 20 }, { Fault::Replace, 1, 900 }, { Fault::DivideReads, 1, 2000 } });
}

rc::Gen<Scenario> cutsWhileAnswersAreLate()
{
    return scenariosOf({ { Fault::Rough, 1, 500 }, { Fault::DivideReads, 1, 2000 } });
}

rc::Gen<Scenario> freezesThenCuts()
{
    return scenariosOf({ { Fault::Pause, 1 + 3 * 4, 700 }, { Fault::CutPeers, 1U << 1U, 4000 } });
}

} // namespace Lease
