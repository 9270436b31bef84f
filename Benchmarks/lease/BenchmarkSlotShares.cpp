#include "LeaseSimulation.h"
#include "SkewedLoad.h"

#include <LibLease/SlotShares.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <string>

using namespace std::chrono_literals;

namespace {

using namespace Lease;

constexpr int serverCount = 50;
constexpr int slotsPerServer = 8;
constexpr int vmCount = 3;

DomainView wholeView()
{
    DomainView view;
    for (int vm = 1; vm <= vmCount; ++vm)
        view.members.emplace_back("vm" + std::to_string(vm));
    view.reservations = view.members;
    return view;
}

int slotsOf(const DomainView &view, const Core::VmId &vm)
{
    int slots = 0;
    for (int server = 0; server < serverCount; ++server) {
        const Core::VmId name("worker" + std::to_string(server));
        slots
            += SlotShares::share(view, vm, name, slotsPerServer, MembershipSettings().minimumSlots);
    }
    return slots;
}

/// The part of the offered requests that is served when each VM has the given slots.
double servedPart(const std::array<double, vmCount> &arrivals, double load,
                  const std::array<int, vmCount> &slots)
{
    const double capacity = serverCount * slotsPerServer / LoadSettings().serviceSeconds;
    LoadResult sum;
    for (int vm = 0; vm < vmCount; ++vm) {
        LoadSettings settings;
        settings.arrivalsPerSecond = capacity * load * arrivals[vm];
        settings.slots = slots[vm];
        settings.seed = vm + 1;
        const LoadResult result = simulateLoad(settings);
        sum.offered += result.offered;
        sum.served += result.served;
    }
    return static_cast<double>(sum.served) / static_cast<double>(sum.offered);
}

std::array<int, vmCount> leasedSlots(const DomainView &view)
{
    std::array<int, vmCount> slots {};
    for (int vm = 0; vm < vmCount; ++vm)
        slots[vm] = slotsOf(view, view.members[vm]);
    return slots;
}

/// The view whose weights follow the arrivals, as the holder would record it.
DomainView weightedView(const std::array<double, vmCount> &arrivals)
{
    DomainView view = wholeView();
    for (const double part : arrivals) {
        const auto weight = static_cast<int>(std::lround(MembershipSettings::weightSum * part));
        view.weights.push_back(std::max(1, weight));
    }
    return view;
}

void printSkew()
{
    constexpr int allSlots = serverCount * slotsPerServer;
    constexpr int fixedSlots = serverCount * (slotsPerServer / vmCount);
    const std::array<int, vmCount> fixed { fixedSlots, fixedSlots, fixedSlots };
    const std::array<int, vmCount> even = leasedSlots(wholeView());
    std::printf(
        "slots of the 3 entry VMs: fixed split %d each, even leased shares %d %d %d, of %d\n",
        fixedSlots, even[0], even[1], even[2], allSlots);

    const std::array<std::array<double, vmCount>, 3> skews {
        { { 1. / 3, 1. / 3, 1. / 3 }, { 0.5, 0.3, 0.2 }, { 0.8, 0.1, 0.1 } }
    };
    std::printf("served part of the requests; one pool is a bound, its hop isn't counted\n");
    std::printf("arrivals      load  fixed split  even shares  shares by demand  one pool\n");
    for (const auto &skew : skews) {
        const std::array<int, vmCount> weighted = leasedSlots(weightedView(skew));
        for (const double load : { 0.5, 0.7, 0.9 }) {
            std::printf("%2.0f%% %2.0f%% %2.0f%%    %.1f  %10.1f%%  %10.1f%%  %15.1f%%  %7.1f%%\n",
                        100 * skew[0], 100 * skew[1], 100 * skew[2], load,
                        100 * servedPart(skew, load, fixed), 100 * servedPart(skew, load, even),
                        100 * servedPart(skew, load, weighted),
                        100 * servedPart({ 1, 0, 0 }, load, { allSlots, 0, 0 }));
        }
    }
}

int usableSlots(const LeaseSimulation &simulation, int deadPosition)
{
    int slots = 0;
    for (int position = 0; position < vmCount; ++position)
        slots += position == deadPosition ? 0 : simulation.shareLimit(position).slots;
    return slots;
}

void printDeath(const char *who, int offset)
{
    SimulationSettings settings;
    settings.positions = vmCount;
    settings.logLatency = 20ms;
    settings.readInterval = 200ms;
    LeaseSimulation simulation(settings, 1);
    simulation.advance(60s);
    const int dead = (simulation.holder() + offset) % vmCount;
    const int before = usableSlots(simulation, -1);
    simulation.kill(dead);

    constexpr int seconds = 900;
    int lostSlotSeconds = 0;
    int last = before;
    std::printf("%s dies; a server's slots that the others may use (of %d, fixed split %d):", who,
                before, 2 * (slotsPerServer / vmCount));
    for (int second = 0; second < seconds; ++second) {
        const int usable = usableSlots(simulation, dead);
        if (usable != last)
            std::printf(" %d from %d s", usable, second);
        last = usable;
        lostSlotSeconds += slotsPerServer - usable;
        simulation.advance(1s);
    }
    const int lostByFixed = seconds * (slotsPerServer - 2 * (slotsPerServer / vmCount));
    std::printf("\n  slot seconds lost in %d s: leased grants %d, fixed split %d, ratio %.2f\n",
                seconds, lostSlotSeconds, lostByFixed,
                static_cast<double>(lostSlotSeconds) / lostByFixed);
}

void printLookupCost()
{
    LeaseSimulation simulation({}, 1);
    simulation.advance(60s);
    constexpr int lookups = 1'000'000;
    int sum = 0;
    const auto began = std::chrono::steady_clock::now();
    for (int lookup = 0; lookup < lookups; ++lookup)
        sum += simulation.shareLimit(lookup % vmCount).slots;
    const std::chrono::duration<double, std::nano> taken = std::chrono::steady_clock::now() - began;
    std::printf("a lookup of one server's limits takes %.0f ns (sum %d)\n", taken.count() / lookups,
                sum);
}

} // namespace

int main()
{
    printSkew();
    printDeath("the holder", 0);
    printDeath("a witness", 1);
    printLookupCost();
    return 0;
}
