#pragma once

#include <LibCore/Time.h>
#include <LibJob/Catalogue.h>
#include <LibJob/OwnedJob.h>

#include <compare>
#include <cstdint>
#include <map>

namespace Jobs {

/// Whether a job can still reach its objective.
enum class Timeliness {
    OnTime,
    /// It misses its objective, but still counts for a part.
    Late,
    TooLate,
};

/// The place of a step in the order of starts; less comes first.
struct StartRank
{
    Timeliness timeliness = Timeliness::OnTime;
    int priority = 0;
    /// Milliseconds of a core for each unit of worth.
    double workPerWorth = 0;
    Core::Instant submittedAt;

    auto operator<=>(const StartRank &) const = default;
};

/// Orders waiting steps for a load above what the workers can do: first what can still be on time,
/// by priority, and among equals what earns most for its work, so that a burst of large jobs
/// delays few. Jobs that are late already wait, in the order in which they came, for room that
/// nobody else needs.
class StartOrder
{
public:
    /// Learns the mean work of the jobs of a queue.
    void noteJob(const QueueId &queue, double work);

    double meanWork(const QueueId &queue) const;

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
