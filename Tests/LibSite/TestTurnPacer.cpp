#include <LibSite/TurnPacer.h>

#include <catch2/catch.hpp>

using namespace Site;
using std::chrono::milliseconds;

namespace {

Core::Instant at(int ms)
{
    return Core::Instant(milliseconds(100'000 + ms));
}

} // namespace

TEST_CASE("Turns take half of the loop's time, however often they are requested")
{
    const int turnMs = GENERATE(1, 3, 8, 20);
    TurnPacer pacer;
    int inTurnsMs = 0;
    int nowMs = 0;
    while (nowMs < 1000) {
        if (at(nowMs) < pacer.nextTurnAt()) {
            ++nowMs;
            continue;
        }
        pacer.noteTurn(at(nowMs), at(nowMs + turnMs));
        nowMs += turnMs;
        inTurnsMs += turnMs;
    }
    CHECK(inTurnsMs <= 520);
}

TEST_CASE("A turn that was long delays the next one by 50 ms at most")
{
    TurnPacer pacer;
    CHECK(pacer.nextTurnAt() <= at(0));
    pacer.noteTurn(at(0), at(700));
    CHECK(pacer.nextTurnAt() <= at(750));
}

TEST_CASE("A heartbeat that a long turn would delay is sent before the turn")
{
    TurnPacer pacer;
    CHECK_FALSE(pacer.isHeartbeatFirst(at(0), at(1)));
    CHECK(pacer.isHeartbeatFirst(at(1), at(1)));
    pacer.noteTurn(at(100), at(400));
    CHECK(pacer.isHeartbeatFirst(at(450), at(600)));
    CHECK_FALSE(pacer.isHeartbeatFirst(at(450), at(800)));
}
