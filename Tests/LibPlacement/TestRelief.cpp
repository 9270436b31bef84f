#include "VirtualDomain.h"

#include <LibPlacement/EvictOnAlarmScheduler.h>

#include <rapidcheck/catch.h>

#include <algorithm>
#include <set>

using namespace Builders;
using namespace Placement;

namespace {

constexpr int observedSeconds = 900;
constexpr int reportSeconds = 10;

struct ReliefCounts
{
    std::size_t evictions = 0;
    std::size_t throttles = 0;
    /// The shortest time from one step against the pressure to the next.
    int shortestPause = observedSeconds;
    bool isThrottledFirst = true;
};

/// One latency-critical task beside twelve batch tasks; its measured slowdown swings between calm
/// and alarm with the given half period, whatever is done about it.
ReliefCounts oscillate(Scheduler &scheduler, int halfPeriod, double high)
{
    VirtualDomain domain(scheduler, rules(), workers(1, { 16000, 16384, 0 }));
    domain.submit(spec("critical", cores(2), "plan"), 0);
    for (int i = 0; i < 12; ++i)
        domain.submit(spec("batch-" + std::to_string(i), cores(1)), 0);
    while (domain.now() < observedSeconds) {
        domain.run(reportSeconds);
        const bool isHigh = domain.now() / halfPeriod % 2 == 0;
        domain.observe(TaskId("critical"), isHigh ? high : 1.0, cores(2));
        for (int i = 0; i < 12; ++i)
            domain.observe(TaskId("batch-" + std::to_string(i)), 1.0, cores(1));
    }
    ReliefCounts counts;
    counts.evictions = domain.decided<EvictDecision>().size();
    counts.throttles = domain.decided<ThrottleDecision>().size();
    std::set<int> steps;
    for (std::size_t i = 0; i < domain.decisions().size(); ++i) {
        const auto *throttle = std::get_if<ThrottleDecision>(&domain.decisions()[i]);
        const bool isEviction = std::holds_alternative<EvictDecision>(domain.decisions()[i]);
        if (isEviction || (throttle && throttle->percent < 100))
            steps.insert(domain.decisionTimes()[i]);
    }
    for (auto step = steps.begin(); step != steps.end() && std::next(step) != steps.end(); ++step)
        counts.shortestPause = std::min(counts.shortestPause, *std::next(step) - *step);
    for (const Decision &decision : domain.decisions()) {
        if (std::holds_alternative<ThrottleDecision>(decision))
            break;
        if (std::holds_alternative<EvictDecision>(decision))
            counts.isThrottledFirst = false;
    }
    return counts;
}

std::size_t evictionBudget()
{
    const auto interval = settings().interference.evictionIntervalPerWorker;
    return 1 + std::chrono::seconds(observedSeconds) / interval;
}

} // namespace

TEST_CASE("A lagging, oscillating measurement doesn't make the scheduler oscillate")
{
    rc::prop("throttling comes first, and evictions stay within their budget", [] {
        const int halfPeriod = *rc::gen::inRange(reportSeconds, 200);
        const double high = 1.5 + *rc::gen::inRange(0, 60) / 10.0;
        const auto scheduler = InformedScheduler::create(settings());
        const ReliefCounts counts = oscillate(*scheduler, halfPeriod, high);
        RC_ASSERT(counts.evictions <= evictionBudget());
        RC_ASSERT(counts.isThrottledFirst);
        // Each action waits until the one before can have shown.
        RC_ASSERT(std::chrono::seconds(counts.shortestPause) >= settings().interference.settleTime);
    });
    SECTION("evicting on every alarm exceeds the same budget")
    {
        EvictOnAlarmScheduler scheduler(FailureDomainId("east"),
                                        settings().interference.alarmSlowdown);
        CHECK(oscillate(scheduler, 50, 3.0).evictions > evictionBudget());
    }
    SECTION("a slowdown between the two thresholds changes nothing")
    {
        const auto scheduler = InformedScheduler::create(settings());
        const double between = settings().interference.alarmSlowdown - 0.1;
        const ReliefCounts counts = oscillate(*scheduler, 50, between);
        CHECK(counts.evictions == 0);
        CHECK(counts.throttles == 0);
    }
}

TEST_CASE("Use beyond what is declared only lowers what a worker is given")
{
    const auto scheduler = InformedScheduler::create(settings());
    VirtualDomain domain(*scheduler, rules(), workers(1, { 8000, 8192, 0 }));
    domain.submit(spec("modest", cores(2)), 0);
    domain.run(1);
    SECTION("a task that uses more than it declared keeps others out")
    {
        for (int i = 0; i < 10; ++i)
            domain.observe(TaskId("modest"), 1.0, { 7000, 10, 0 });
        domain.submit(spec("next", cores(4)), 0);
        domain.run(5);
        CHECK_FALSE(domain.startedAt(TaskId("next")).has_value());
    }
    SECTION("one that uses less doesn't let more in than was declared")
    {
        for (int i = 0; i < 10; ++i)
            domain.observe(TaskId("modest"), 1.0, { 1, 1, 0 });
        domain.submit(spec("next", cores(7)), 0);
        domain.run(5);
        CHECK_FALSE(domain.startedAt(TaskId("next")).has_value());
    }
}
