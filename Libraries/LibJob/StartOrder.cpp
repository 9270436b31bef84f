#include <LibJob/StartOrder.h>

#include <algorithm>

namespace Jobs {

/// What a job is worth whatever its size, and by its work against the mean of its queue.
static constexpr double fixedWorth = 0.3;
static constexpr double worthOfMeanWork = 0.7;
static constexpr double mostWorth = 4.0;
/// Behind all that ends, among what is on time and of the same priority.
static constexpr double longRunningWork = 1e12;
/// Up to this many times its objective, a job still counts for a part.
static constexpr double lateFactor = 3.0;
/// The mean follows the jobs of late this closely.
static constexpr std::int64_t meanWindow = 50;

using std::chrono::milliseconds;

void StartOrder::noteJob(const QueueId &queue, double work)
{
    Mean &mean = m_meanWork[queue];
    mean.count = std::min(mean.count + 1, meanWindow);
    mean.value += (work - mean.value) / static_cast<double>(mean.count);
}

double StartOrder::meanWork(const QueueId &queue) const
{
    const auto mean = m_meanWork.find(queue);
    return mean == m_meanWork.end() ? 0 : mean->second.value;
}

static Timeliness timeliness(const OwnedJob &job, int step, const Queue &queue, Core::Instant dueAt,
                             Core::Instant now)
{
    const double objectiveMs = queue.stretch * static_cast<double>(job.wholeChainMs())
        + static_cast<double>(queue.extraMs);
    const Core::Instant end = now + milliseconds(job.chainMs(step));
    if (end <= dueAt + milliseconds(static_cast<std::int64_t>(objectiveMs)))
        return Timeliness::OnTime;
    if (end <= dueAt + milliseconds(static_cast<std::int64_t>(lateFactor * objectiveMs)))
        return Timeliness::Late;
    return Timeliness::TooLate;
}

StartRank StartOrder::rank(const OwnedJob &job, int occurrence, int step, const Queue &queue,
                           Core::Instant dueAt, Core::Instant now) const
{
    StartRank rank;
    rank.priority = queue.priority;
    rank.submittedAt = dueAt;
    // A long-running task earns for as long as it runs, so it is never late. It takes its room for
    // long, so what is over soon goes first.
    if (job.spec(step).isLongRunning) {
        rank.workPerWorth = longRunningWork;
        return rank;
    }
    rank.timeliness = timeliness(job, step, queue, dueAt, now);
    // Jobs that are late wait in their order, so that none of them is passed over for good.
    if (rank.timeliness != Timeliness::OnTime)
        return rank;
    const double mean = meanWork(queue.id);
    const double ratio = mean > 0 ? job.wholeWork() / mean : 1;
    const double worth = std::min(mostWorth, fixedWorth + worthOfMeanWork * ratio);
    rank.workPerWorth = job.remainingWork(occurrence) / worth;
    return rank;
}

} // namespace Jobs
