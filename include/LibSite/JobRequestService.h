#pragma once

#include <LibJob/Catalogue.h>
#include <LibJob/JobSpec.h>
#include <LibSite/Authentication.h>
#include <LibSite/JobFollower.h>
#include <LibSite/RecordWriter.h>
#include <LibSite/SiteState.h>

#include <cstdint>
#include <optional>

namespace Site {

enum class SubmitOutcome {
    /// The submission is in the store.
    Accepted,
    /// The submission wasn't written, and the job will never run.
    Refused,
    /// The submission may have been written.
    Unknown,
    /// Another customer's job has the ID; the submission doesn't count.
    Conflict,
};

enum class CancelOutcome {
    Cancelled,
    NoSuchJob,
    /// The cancellation wasn't written.
    Refused,
    /// The cancellation may have been written.
    Unknown,
};

enum class FindOutcome {
    Found,
    NoSuchJob,
    /// The store can't be read, and this node's copy of the records doesn't contain the job.
    Unavailable,
};

enum class CountOutcome {
    Counted,
    /// This node's copy of the job records is too old for a count.
    Unavailable,
};

struct WaitingCount
{
    CountOutcome outcome = CountOutcome::Unavailable;
    /// Number of jobs of which no task has started; 0 unless the outcome is Counted.
    std::int64_t jobs = 0;

    auto operator<=>(const WaitingCount &) const = default;
};

struct JobLookup
{
    FindOutcome outcome = FindOutcome::Unavailable;
    Jobs::JobState state = Jobs::JobState::Queued;

    auto operator<=>(const JobLookup &) const = default;
};

/// Handles callers' requests on jobs, on any node of a site. An accepted submission or cancellation
/// is in the store, and every reported state is durable. Deadlines are on the steady clock. A job
/// that the caller may not see is treated like one that doesn't exist, except that its ID is taken.
class JobRequestService
{
public:
    JobRequestService(SiteState &state, JobFollower &follower, RecordWriter &writer);

    /// True if this node's copy of the job records, which may be incomplete, tells of the job.
    bool isKnown(const Jobs::JobId &id) const { return m_state.table.findState(id).has_value(); }
    /// The job belongs to the caller's customer.
    boost::asio::awaitable<SubmitOutcome> submit(Jobs::Submission submission,
                                                 Core::Instant deadline, Caller caller = {});
    boost::asio::awaitable<CancelOutcome> cancel(Jobs::JobId id, Core::Instant deadline,
                                                 Caller caller = {});
    boost::asio::awaitable<JobLookup> find(Jobs::JobId id, Core::Instant deadline,
                                           Caller caller = {});
    /// How many seconds a caller whose submission or cancellation was refused should wait.
    std::int64_t retryAfterSeconds() const { return m_writer.retryAfterSeconds(); }
    boost::asio::awaitable<WaitingCount> countWaiting(Jobs::QueueId queue, Core::Instant deadline,
                                                      Caller caller = {});

private:
    /// True if nothing known of the job keeps the caller from seeing it.
    bool maySee(const Jobs::JobId &id, const Caller &caller) const
    {
        return caller.maySee(m_state.table.customerOf(id));
    }
    /// True if the copy of the job records tells which customer a known job belongs to, or if the
    /// caller needn't be isolated. While the copy is read for the first time, the progress of a job
    /// is read before the record that names its customer.
    bool isCustomerKnown(const Jobs::JobId &id, const Caller &caller) const
    {
        return !caller.isIsolated || m_state.tableFreshness.wasEverComplete()
            || m_state.table.tellsCustomer(id);
    }
    /// Reads the job records before a submission by an isolated caller, since another customer's
    /// job may have the ID. Returns false if the read failed and the copy isn't current.
    boost::asio::awaitable<bool> readForIsolation(Jobs::JobId id, Caller caller,
                                                  Core::Instant deadline);
    /// Deadline of a read of the store without which a request can't be answered.
    Core::Instant readDeadline(Core::Instant deadline) const;

    SiteState &m_state;
    JobFollower &m_follower;
    RecordWriter &m_writer;
};

} // namespace Site
