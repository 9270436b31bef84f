#pragma once

#include <LibCore/Time.h>
#include <LibJob/Catalogue.h>
#include <LibJob/OwnedJob.h>

#include <compare>
#include <cstdint>
#include <map>

namespace Jobs {

/// Whether a job can still meet its time objective.
enum class Timeliness {
    OnTime,
    /// The job misses its objective but still has part of its value.
    Late,
    /// The job misses its objective by so much that it has no value left.
    TooLate,
};

/// Sort key of a step in the order of starts; lower ranks start first.
struct StartRank
{
    /// The job is beyond its customer's rate of submission.
    bool isInExcess = false;
    /// The step's timeliness is `TooLate`.
    bool isTooLate = false;
    int priority = 0;
    /// The job's customer uses more than its share of the capacity.
    bool isAboveShare = false;
    Timeliness timeliness = Timeliness::OnTime;
    /// Remaining core-milliseconds per unit of the job's weight; 0 for steps that can't be on time,
    /// very large for long-running ones.
    double workPerWeight = 0;
    Core::Instant dueAt;

    auto operator<=>(const StartRank &) const = default;
};

/// Orders waiting steps when the load exceeds the capacity of the workers or of the owner: by
/// priority, so that an urgent step that is a little late doesn't wait for all steps of all queues.
/// Among equal priorities come first the steps that can still be on time, those with the least work
/// per weight before others, so that a burst of large jobs delays few; then the late ones by due
/// time. Steps whose job has no value left come after all others, and after these the steps of jobs
/// beyond their customer's rate. Customers that use more than their share come after others of the
/// same priority.
class StartOrder
{
public:
    /// Updates the mean work of the jobs of a queue.
    void noteJob(const QueueId &queue, double work);

    double meanWork(const QueueId &queue) const;

    /// The time objective of an occurrence of the job, counted from its due time.
    static Core::Duration objective(const OwnedJob &job, const Queue &queue);

    StartRank rank(const OwnedJob &job, int occurrence, int step, const Queue &queue,
                   Core::Instant dueAt, Core::Instant now) const;

private:
    struct Mean
    {
        double value = 0;
        std::int64_t count = 0;
    };
    std::map<QueueId, Mean> m_meanWork;
};

} // namespace Jobs
