#include "LeaseSimulation.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <string>

using namespace std::chrono_literals;

namespace Lease {

static DomainView arbitraryView()
{
    DomainView view;
    const int seatCount = *rc::gen::inRange(1, 12);
    for (int seat = 0; seat < seatCount; ++seat) {
        view.reservations.emplace_back("vm" + std::to_string(seat * 7 % 12));
        if (seat == 0 || *rc::gen::arbitrary<bool>())
            view.members.push_back(view.reservations.back());
    }
    std::sort(view.members.begin(), view.members.end());
    if (*rc::gen::arbitrary<bool>()) {
        const auto weight = rc::gen::inRange(1, MembershipSettings::weightSum + 1);
        view.weights = *rc::gen::container<std::vector<int>>(view.members.size(), weight);
    }
    return view;
}

TEST_CASE("A backend server's slots are divided among the seats and members of a view")
{
    rc::prop("never more than there are, and all of them if no seat is idle", [] {
        const DomainView view = arbitraryView();
        const int total = *rc::gen::inRange(1, 65);
        const int floor = *rc::gen::inRange(0, 9);
        const Core::VmId server("worker" + std::to_string(*rc::gen::inRange(0, 100)));
        int sum = 0;
        for (const Core::VmId &seat : view.reservations)
            sum += SlotShares::share(view, seat, server, total, floor);
        RC_ASSERT(sum <= total);
        RC_ASSERT(sum == total || view.members.size() < view.reservations.size());
    });
    SECTION("what doesn't divide evenly goes to each member in turn")
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

TEST_CASE("Shares follow the members")
{
    LeaseSimulation world({}, 1);
    world.advance(60s);
    const int holder = world.holder();
    const int member = (holder + 1) % 3;
    const int other = (holder + 2) % 3;
    const auto slots = [&] {
        return world.limit(holder).slots + world.limit(member).slots + world.limit(other).slots;
    };
    REQUIRE(slots() == 8);

    SECTION("a member that is cut off serves from its floor, the others from the rest")
    {
        world.cutPeers(1U << member);
        world.advance(60s);
        CHECK(world.limit(member) == ShareLimit { 1, 8 });
        CHECK(slots() == 8);
        SECTION("it gets its share back when it is in reach again")
        {
            world.heal();
            world.advance(40s);
            CHECK(world.limit(member).slots > 1);
            CHECK(slots() == 8);
        }
        SECTION("the floor ends, and the others get it")
        {
            world.advance(11min);
            CHECK(world.limit(member) == ShareLimit {});
            CHECK(slots() == 8);
        }
    }
    SECTION("they follow the demand")
    {
        world.setDemand(member, 300);
        world.setDemand(other, 50);
        world.setDemand(holder, 50);
        world.advance(90s);
        CHECK(world.limit(member).slots > world.limit(other).slots);
        CHECK(world.limit(member).slots > world.limit(holder).slots);
        CHECK(slots() == 8);
    }
    SECTION("a log outage changes nothing")
    {
        const ShareLimit before = world.limit(member);
        world.setLogOutage(true);
        world.advance(9min);
        CHECK(world.limit(member) == before);
        CHECK(slots() == 8);
    }
    SECTION("they outlive the holder")
    {
        world.kill(holder);
        for (int step = 0; step < 600; ++step) {
            world.advance(100ms);
            REQUIRE(world.limit(member).slots >= 2);
            REQUIRE(world.limit(other).slots >= 2);
        }
        // The dead VM's floor stays reserved.
        CHECK(world.limit(member).slots + world.limit(other).slots == 7);
    }
    CHECK(world.violation().empty());
}

} // namespace Lease
