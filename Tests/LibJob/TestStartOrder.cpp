#include <LibJob/StartOrder.h>

#include <catch2/catch.hpp>

using namespace Jobs;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Core::Instant due(seconds(100));

/// A job of one step of a second, whose objective is 1.75 s after its due time.
OwnedJob jobOf(std::int64_t estimateMs = 1000, bool isLongRunning = false)
{
    JobEntry entry;
    entry.submission.id = JobId("job");
    StepSpec step;
    step.taskCount = 13;
    step.need = { 6000, 1000, 0 };
    step.estimateMs = estimateMs;
    step.isLongRunning = isLongRunning;
    entry.submission.spec.steps = { step };
    OwnedJob job(entry);
    job.beginOccurrence(0);
    return job;
}

StartRank rankOf(const OwnedJob &job, int priority, milliseconds afterDue)
{
    Queue queue;
    queue.id = QueueId("queue");
    queue.priority = priority;
    queue.stretch = 1.5;
    queue.objectiveBaseMs = 250;
    return StartOrder().rank(job, 0, 0, queue, due, due + afterDue);
}

constexpr milliseconds onTime(100);
constexpr milliseconds late(1000);
constexpr milliseconds tooLate(5000);

} // namespace

TEST_CASE("Steps start in the order of what their callers asked for")
{
    const OwnedJob job = jobOf();

    SECTION("a step of a more urgent queue comes first, also if it is late")
    {
        CHECK(rankOf(job, 0, onTime) < rankOf(job, 1, onTime));
        CHECK(rankOf(job, 0, late) < rankOf(job, 1, onTime));
        CHECK(rankOf(job, 0, late) < rankOf(job, 1, late));
    }
    SECTION("but a step without any value left comes after all others")
    {
        CHECK(rankOf(job, 2, late) < rankOf(job, 0, tooLate));
        CHECK(rankOf(job, 0, tooLate) < rankOf(job, 1, tooLate));
    }
    SECTION("within a queue, late steps come after those on time")
    {
        CHECK(rankOf(job, 0, onTime) < rankOf(job, 0, late));
    }
    SECTION("and those with less work come first while they are on time")
    {
        CHECK(rankOf(jobOf(800), 0, onTime) < rankOf(job, 0, onTime));
    }
    SECTION("a long-running step is never late and comes after the short ones of its queue that "
            "are on time")
    {
        const OwnedJob lasting = jobOf(1000, true);
        CHECK(rankOf(job, 0, onTime) < rankOf(lasting, 0, tooLate));
        CHECK(rankOf(lasting, 0, tooLate) < rankOf(job, 0, late));
    }
}
