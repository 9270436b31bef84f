#include <LibSite/LoopMeter.h>

#include <catch2/catch.hpp>

using namespace Site;
using std::chrono::milliseconds;

namespace {

Core::Instant at(int ms)
{
    return Core::Instant(milliseconds(100'000 + ms));
}

} // namespace

TEST_CASE("A summary of the owner's loop names the longest of everything in its interval")
{
    LoopMeter meter(at(0));
    meter.noteTimerLag(milliseconds(30));
    meter.noteTimerLag(milliseconds(20));
    meter.noteWork("report", milliseconds(5));
    meter.noteWork("planning", milliseconds(9));
    meter.noteWork("commit", milliseconds(1));
    meter.noteAppendAnswered(at(700));
    meter.noteAppendAnswered(at(900));
    meter.noteStart();
    meter.noteStart();
    meter.noteReport();
    CHECK(
        meter.takeSummary(at(1000))
        == LoopSummary { milliseconds(30), milliseconds(9), "planning", milliseconds(700), 2, 1 });

    SECTION("and the next one begins anew, except that an unanswered append goes on")
    {
        CHECK(meter.takeSummary(at(2000)) == LoopSummary { {}, {}, "none", milliseconds(1100) });
        meter.noteAppendAnswered(at(2500));
        CHECK(meter.takeSummary(at(3000)).appendGap == milliseconds(1600));
    }
}
