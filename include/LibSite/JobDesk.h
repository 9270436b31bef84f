#pragma once

#include <LibJob/Catalogue.h>
#include <LibJob/JobSpec.h>
#include <LibSite/JobFollower.h>
#include <LibSite/RecordWriter.h>
#include <LibSite/SiteState.h>

#include <cstdint>
#include <optional>

namespace Site {

enum class SubmitOutcome {
    Accepted,
    /// It will never run.
    Refused,
    Unknown,
};

enum class CancelOutcome {
    Cancelled,
    NoSuchJob,
    /// Nothing was done.
    Refused,
    Unknown,
};

enum class FindOutcome {
    Found,
    NoSuchJob,
    /// The store can't be asked, and the job isn't known here.
    Unavailable,
};

enum class CountOutcome {
    Counted,
    /// The records that this node has read don't allow a true count.
    Unavailable,
};

struct WaitingCount
{
    CountOutcome outcome = CountOutcome::Unavailable;
    /// Jobs of which no task has started; 0 unless they were counted.
    std::int64_t jobs = 0;

    auto operator<=>(const WaitingCount &) const = default;
};

struct JobFinding
{
    FindOutcome outcome = FindOutcome::Unavailable;
    Jobs::JobState state = Jobs::JobState::Queued;

    auto operator<=>(const JobFinding &) const = default;
};

/// Serves callers' requests on jobs at any node: what is accepted is in the store, and what is
/// shown is durable.
class JobDesk
{
public:
    JobDesk(SiteState &state, JobFollower &follower, RecordWriter &writer);

    /// The job is in this node's copy of the job records.
    bool isKnown(const Jobs::JobId &id) const { return m_state.table.find(id) != nullptr; }
    boost::asio::awaitable<SubmitOutcome> submit(Jobs::Submission submission,
                                                 Core::Instant deadline);
    boost::asio::awaitable<CancelOutcome> cancel(Jobs::JobId id, Core::Instant deadline);
    boost::asio::awaitable<JobFinding> find(Jobs::JobId id, Core::Instant deadline);
    boost::asio::awaitable<WaitingCount> countWaiting(Jobs::QueueId queue, Core::Instant deadline);

private:
    /// By when a question must be answered that only a read of the store can answer.
    Core::Instant readDeadline(Core::Instant deadline) const;

    SiteState &m_state;
    JobFollower &m_follower;
    RecordWriter &m_writer;
};

} // namespace Site
