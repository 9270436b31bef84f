#include "LeaseSimulation.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <string>

using namespace std::chrono_literals;

namespace Lease {

static DomainView arbitraryView()
{
    DomainView view;
    const int reservationCount = *rc::gen::inRange(1, 12);
    for (int index = 0; index < reservationCount; ++index) {
        view.reservations.emplace_back("vm" + std::to_string(index * 7 % 12));
        if (index == 0 || *rc::gen::arbitrary<bool>())
            view.members.push_back(view.reservations.back());
    }
    std::sort(view.members.begin(), view.members.end());
    if (*rc::gen::arbitrary<bool>()) {
        const auto weight = rc::gen::inRange(1, MembershipSettings::weightSum + 1);
        view.weights = *rc::gen::container<std::vector<int>>(view.members.size(), weight);
    }
    return view;
}

TEST_CASE("A backend server's slots are divided among the reservations and members of a view")
{
    rc::prop("the sum never exceeds the total, and equals it if all reservations are members'", [] {
        const DomainView view = arbitraryView();
        const int total = *rc::gen::inRange(1, 65);
        const int minimum = *rc::gen::inRange(0, 9);
        const Core::VmId server("worker" + std::to_string(*rc::gen::inRange(0, 100)));
        int sum = 0;
        for (const Core::VmId &vm : view.reservations)
            sum += SlotShares::share(view, vm, server, total, minimum);
        RC_ASSERT(sum <= total);
        RC_ASSERT(sum == total || view.members.size() < view.reservations.size());
    });
    SECTION("the remainder of an uneven division goes to different members on different servers")
    {
        const std::vector<Core::VmId> vms { Core::VmId("a"), Core::VmId("b"), Core::VmId("c") };
        const DomainView view { 1, vms, vms, {} };
        for (const Core::VmId &vm : vms) {
            int slots = 0;
            for (int server = 0; server < 300; ++server)
                slots
                    += SlotShares::share(view, vm, Core::VmId("w" + std::to_string(server)), 8, 1);
            CHECK(std::abs(slots - 800) < 50);
        }
    }
}

TEST_CASE("Shares follow membership and demand")
{
    LeaseSimulation simulation({}, 1);
    simulation.advance(60s);
    const int holder = simulation.holder();
    const int member = (holder + 1) % 3;
    const int other = (holder + 2) % 3;
    const auto slots = [&] {
        return simulation.shareLimit(holder).slots + simulation.shareLimit(member).slots
            + simulation.shareLimit(other).slots;
    };
    REQUIRE(slots() == 8);

    SECTION("a disconnected member uses its minimum share, and the others use the remainder")
    {
        simulation.cutPeers(1U << member);
        simulation.advance(60s);
        CHECK(simulation.shareLimit(member) == ShareLimit { 1, 8 });
        CHECK(slots() == 8);
        SECTION("it gets its share back when it is reconnected")
        {
            simulation.heal();
            simulation.advance(40s);
            CHECK(simulation.shareLimit(member).slots > 1);
            CHECK(slots() == 8);
        }
        SECTION("its minimum share expires and goes to the others")
        {
            simulation.advance(11min);
            CHECK(simulation.shareLimit(member) == ShareLimit {});
            CHECK(slots() == 8);
        }
    }
    SECTION("a member with higher demand gets more slots")
    {
        simulation.setDemand(member, 300);
        simulation.setDemand(other, 50);
        simulation.setDemand(holder, 50);
        simulation.advance(90s);
        CHECK(simulation.shareLimit(member).slots > simulation.shareLimit(other).slots);
        CHECK(simulation.shareLimit(member).slots > simulation.shareLimit(holder).slots);
        CHECK(slots() == 8);
    }
    SECTION("a log outage doesn't change the shares")
    {
        const ShareLimit before = simulation.shareLimit(member);
        simulation.setLogOutage(true);
        simulation.advance(9min);
        CHECK(simulation.shareLimit(member) == before);
        CHECK(slots() == 8);
    }
    SECTION("the members keep their shares when the holder dies")
    {
        simulation.kill(holder);
        for (int step = 0; step < 600; ++step) {
            simulation.advance(100ms);
            REQUIRE(simulation.shareLimit(member).slots >= 2);
            REQUIRE(simulation.shareLimit(other).slots >= 2);
        }
        // The dead VM's minimum share stays reserved.
        CHECK(simulation.shareLimit(member).slots + simulation.shareLimit(other).slots == 7);
    }
    CHECK(simulation.violation().empty());
}

} // namespace Lease
