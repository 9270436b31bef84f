#include <LibRouting/FairQueue.h>

#include <rapidcheck/catch.h>

using Core::TeamId;
using Routing::FairQueue;
using Routing::QueuedRequest;

namespace {

constexpr Core::Duration quantum = std::chrono::milliseconds(10);

QueuedRequest requestOf(const TeamId &team, int number)
{
    return { Core::RequestId(team.text() + std::to_string(number)), team, quantum };
}

/// How many requests of others are served before the small team's one.
int servedBefore(FairQueue &queue, const TeamId &small)
{
    int others = 0;
    while (const auto next = queue.pop()) {
        if (next->team == small)
            return others;
        ++others;
    }
    return -1;
}

} // namespace

TEST_CASE("A busy team waits behind itself, not before others")
{
    const TeamId small("small");
    rc::prop("one request of a small team waits for at most one round, however much is queued",
             [&] {
                 const int teams = *rc::gen::inRange(1, 8);
                 FairQueue queue(quantum);
                 std::map<TeamId, int> weights;
                 int round = 0;
                 for (int team = 0; team < teams; ++team) {
                     const TeamId busy("busy" + std::to_string(team));
                     weights[busy] = *rc::gen::inRange(1, 5);
                     round += weights[busy];
                     const int queued = *rc::gen::inRange(20, 200);
                     for (int number = 0; number < queued; ++number)
                         queue.pushBack(requestOf(busy, number));
                 }
                 queue.setWeights(weights);
                 const int alreadyServed = *rc::gen::inRange(0, 15);
                 for (int number = 0; number < alreadyServed; ++number)
                     queue.pop();
                 queue.pushBack(requestOf(small, 0));
                 RC_ASSERT(servedBefore(queue, small) <= round);
             });
    SECTION("one queue for all would let it wait behind everything")
    {
        FairQueue queue(quantum);
        const TeamId everybody("everybody");
        for (int number = 0; number < 100; ++number)
            queue.pushBack(requestOf(everybody, number));
        queue.pushBack({ Core::RequestId("small0"), everybody, quantum });
        for (int number = 0; number < 100; ++number)
            CHECK(queue.pop()->id != Core::RequestId("small0"));
    }
    rc::prop("what is queued comes out once, or is removed", [] {
        FairQueue queue(quantum);
        std::set<Core::RequestId> inside;
        const auto commands = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40));
        int number = 0;
        for (const int command : commands) {
            const TeamId team("team" + std::to_string(command % 4));
            const QueuedRequest request = requestOf(team, number++);
            if (command < 20) {
                queue.pushBack(request);
                inside.insert(request.id);
            } else if (command < 25) {
                queue.pushFront(request);
                inside.insert(request.id);
            } else if (command < 30 && !inside.empty()) {
                RC_ASSERT(queue.remove(*inside.begin()));
                inside.erase(inside.begin());
            } else {
                const auto next = command < 35 ? queue.takeNewestOfBusiest() : queue.pop();
                RC_ASSERT(next.has_value() == !inside.empty());
                RC_ASSERT(!next || inside.erase(next->id) == 1);
            }
            RC_ASSERT(queue.size() == inside.size());
        }
    });
}
