#include <LibJob/StartOrder.h>

#include <algorithm>

namespace Jobs {

/// A job's weight has a fixed part and one that is proportional to its work, relative to the
/// queue's mean work.
static constexpr double fixedWeight = 0.3;
static constexpr double weightOfMeanWork = 0.7;
static constexpr double maxWeight = 4.0;
/// Places long-running steps behind all others that are on time and have the same priority.
static constexpr double longRunningWork = 1e12;
/// Up to this multiple of its objective, a late job still has part of its value.
static constexpr int lateFactor = 3;
/// Number of recent jobs over which the mean is smoothed.
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

Core::Duration StartOrder::objective(const OwnedJob &job, const Queue &queue)
{
    const double objectiveMs = queue.stretch * static_cast<double>(job.criticalPathMs())
        + static_cast<double>(queue.objectiveBaseMs);
    return milliseconds(static_cast<std::int64_t>(objectiveMs));
}

static Timeliness timeliness(const OwnedJob &job, int step, const Queue &queue, Core::Instant dueAt,
                             Core::Instant now)
{
    const Core::Duration objective = StartOrder::objective(job, queue);
    const Core::Instant end = now + milliseconds(job.criticalPathMsFrom(step));
    if (end <= dueAt + objective)
        return Timeliness::OnTime;
    if (end <= dueAt + lateFactor * objective)
        return Timeliness::Late;
    return Timeliness::TooLate;
}

StartRank StartOrder::rank(const OwnedJob &job, int occurrence, int step, const Queue &queue,
                           Core::Instant dueAt, Core::Instant now) const
{
    StartRank rank;
    rank.isInExcess = job.isInExcess;
    rank.priority = queue.priority;
    rank.dueAt = dueAt;
    // A long-running task has value for as long as it runs, so it is never late. It occupies
    // capacity for long, so short tasks start first.
    if (job.spec(step).isLongRunning) {
        rank.workPerWeight = longRunningWork;
        return rank;
    }
    rank.timeliness = timeliness(job, step, queue, dueAt, now);
    rank.isTooLate = rank.timeliness == Timeliness::TooLate;
    // Among late jobs of equal priority only the due time counts, so that none of them starves.
    if (rank.timeliness != Timeliness::OnTime)
        return rank;
    const double mean = meanWork(queue.id);
    const double ratio = mean > 0 ? job.totalWork() / mean : 1;
    const double weight = std::min(maxWeight, fixedWeight + weightOfMeanWork * ratio);
    rank.workPerWeight = job.remainingWork(occurrence) / weight;
    return rank;
}

} // namespace Jobs
