#include <LibJob/OwnerMonitor.h>

#include <catch2/catch.hpp>

using namespace Jobs;
using std::chrono::milliseconds;

namespace {

constexpr double small = 0.07;
constexpr double large = 0.5;

Core::Instant at(int ms)
{
    return Core::Instant(milliseconds(100'000 + ms));
}

OwnerMonitor monitorOf(const char *node, double processorShare, double linkMegabitsPerSecond)
{
    OwnerMonitorSettings settings;
    settings.processorShare = processorShare;
    settings.linkMegabitsPerSecond = linkMegabitsPerSecond;
    return { node, settings };
}

/// Starts to read at \p fromMs, when the last claim is that of a node which has died since.
void readDeadOwner(OwnerMonitor &monitor, int fromMs, int untilMs)
{
    monitor.noteClaim(5, { "dead#1", 3, false }, at(fromMs));
    for (int ms = fromMs; ms <= untilMs; ms += 250)
        monitor.noteRead(true, at(ms));
}

} // namespace

TEST_CASE(
    "After a restart of all nodes a small one doesn't claim before a large one that reads late")
{
    OwnerMonitor weak = monitorOf("small#1", small, 20);
    OwnerMonitor strong = monitorOf("large#1", large, 200);
    readDeadOwner(weak, 0, 6000);
    readDeadOwner(strong, 2500, 6000);
    CHECK(*weak.claimAt() > *strong.claimAt());

    SECTION("but owns the jobs if there is no large one")
    {
        CHECK(*weak.claimAt() <= at(5000));
    }
}

TEST_CASE("A node with a small processor, or of unknown size, but a fast link doesn't wait")
{
    const double share = GENERATE(small, std::numeric_limits<double>::infinity());
    OwnerMonitor monitor = monitorOf("node#1", share, 1000);
    readDeadOwner(monitor, 0, 3000);
    CHECK(*monitor.claimAt() <= at(1900));
}
