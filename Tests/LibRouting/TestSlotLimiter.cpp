#include <LibRouting/SlotLimiter.h>

#include <catch2/catch.hpp>

using Core::Instant;
using Routing::SlotLimiter;
using namespace std::chrono_literals;

TEST_CASE("An abandoned request keeps its slot until its server has surely ended it")
{
    constexpr Core::Duration longestServiceTime = 10s;
    SlotLimiter limiter(longestServiceTime, 60s);
    limiter.setShare(1, 8);
    limiter.onSignOfLife(Instant());
    limiter.onSent();
    const Core::RequestId request("given up on");
    limiter.onAbandoned(request, 1, Instant());
    CHECK_FALSE(limiter.hasFreeSlot());

    SECTION("its end was seen")
    {
        CHECK(limiter.onAbandonedEnded(request, 1));
        CHECK(limiter.hasFreeSlot());
    }
    SECTION("a server that was frozen for an hour may only now go on with it")
    {
        CHECK(limiter.onSignOfLife(Instant(1h)).empty());
        CHECK_FALSE(limiter.hasFreeSlot());
        SECTION("until it has been seen alive for as long as a request can take")
        {
            for (Instant now(1h); now < Instant(1h + longestServiceTime); now += 1s) {
                CHECK_FALSE(limiter.hasFreeSlot());
                limiter.onSignOfLife(now);
            }
            CHECK(limiter.onSignOfLife(Instant(1h + longestServiceTime)).size() == 1);
            CHECK(limiter.hasFreeSlot());
        }
    }
}
