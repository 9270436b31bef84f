#include <LibSite/JobRequestService.h>

#include <LibCore/SteadyClock.h>
#include <LibLog/Logging.h>

#include <algorithm>

namespace Site {

namespace asio = boost::asio;

/// Limits how long a request waits for a read of the store, `responseMargin` included, if the local
/// copy contains the job, if waiting jobs are counted, or while the node shuts down.
static constexpr Core::Duration maxRefreshWait = std::chrono::milliseconds(500);
/// How long the write of a submission is retried before the caller is sent to another node.
static constexpr Core::Duration maxWriteTime = std::chrono::milliseconds(2000);
/// Time reserved before a caller's deadline for the answer to reach the caller.
static constexpr Core::Duration responseMargin = std::chrono::milliseconds(200);
static const auto partLogger = Log::logger("requests");

static const char *outcomeText(WriteOutcome outcome)
{
    switch (outcome) {
    case WriteOutcome::Written:
        return "written";
    case WriteOutcome::NotWritten:
        return "not-written";
    case WriteOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

JobRequestService::JobRequestService(SiteState &state, JobFollower &follower, RecordWriter &writer)
    : m_state(state)
    , m_follower(follower)
    , m_writer(writer)
{
}

/// Names the customer in a log line, with a leading space; empty for an anonymous caller.
static std::string customerField(const Caller &caller)
{
    return caller.customer.isEmpty() ? "" : " customer=" + caller.customer.text();
}

static Core::Instant writeDeadline(Core::Instant deadline)
{
    return std::min(deadline - responseMargin, Core::steadyNow() + maxWriteTime);
}

static Core::Instant refreshDeadline(Core::Instant deadline)
{
    return std::min(deadline, Core::steadyNow() + maxRefreshWait) - responseMargin;
}

asio::awaitable<SubmitOutcome> JobRequestService::submit(Jobs::Submission submission,
                                                         Core::Instant deadline, Caller caller)
{
    const Jobs::JobId id = submission.id;
    submission.customer = caller.customer;
    bool isRead = true;
    if (caller.isIsolated)
        isRead = co_await readForIsolation(id, caller, deadline);
    if (!maySee(id, caller)) {
        LOG4CXX_INFO(partLogger,
                     "event=submit job=" << id << customerField(caller) << " outcome=conflict");
        co_return SubmitOutcome::Conflict;
    }
    if (isKnown(id) && isCustomerKnown(id, caller)) {
        LOG4CXX_INFO(partLogger,
                     "event=submit job=" << id << customerField(caller) << " outcome=known");
        co_return SubmitOutcome::Accepted;
    }
    // The job is in the store, and may be the caller's.
    if (isKnown(id)) {
        LOG4CXX_INFO(partLogger,
                     "event=submit job=" << id << customerField(caller)
                                         << " outcome=unknown reason=customer-not-read");
        co_return SubmitOutcome::Unknown;
    }
    if (!isRead || !m_writer.canWrite()) {
        LOG4CXX_INFO(partLogger,
                     "event=submit job=" << id << customerField(caller)
                                         << " outcome=refused reason="
                                         << (isRead ? "store-lost" : "old-table"));
        co_return SubmitOutcome::Refused;
    }
    const Core::Instant startedAt = Core::steadyNow();
    std::vector<Jobs::StoredRecord> records = Jobs::encodeRecord(submission);
    const Core::Instant writeBy = writeDeadline(deadline);
    const WriteOutcome outcome = co_await m_writer.write(std::move(records), writeBy);
    const auto elapsedMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(Core::steadyNow() - startedAt);
    LOG4CXX_INFO(partLogger,
                 "event=submit job=" << id << " queue=" << submission.queue.id
                                     << customerField(caller) << " outcome=" << outcomeText(outcome)
                                     << " ms=" << elapsedMs.count());
    // Another customer's submission may have come first, at another node.
    if (outcome == WriteOutcome::Written && !maySee(id, caller))
        co_return SubmitOutcome::Conflict;
    if (outcome == WriteOutcome::Written)
        co_return SubmitOutcome::Accepted;
    co_return outcome == WriteOutcome::Unknown ? SubmitOutcome::Unknown : SubmitOutcome::Refused;
}

asio::awaitable<bool> JobRequestService::readForIsolation(Jobs::JobId id, Caller caller,
                                                          Core::Instant deadline)
{
    const bool isTold = isKnown(id) && isCustomerKnown(id, caller);
    if (isTold)
        co_return true;
    // Without the store a read would only take its time limit. The owner may still take the
    // submission, so the copy has to be current all the same.
    const bool isRead
        = m_state.health.isReachable() && co_await m_follower.refresh(refreshDeadline(deadline));
    co_return isRead || m_state.tableFreshness.isCurrent(Core::suspendAwareNow());
}

Core::Instant JobRequestService::readDeadline(Core::Instant deadline) const
{
    // A node that is shutting down has no time for a long read.
    return m_state.isLeaving ? refreshDeadline(deadline) : deadline - responseMargin;
}

asio::awaitable<CancelOutcome> JobRequestService::cancel(Jobs::JobId id, Core::Instant deadline,
                                                         Caller caller)
{
    if (!isKnown(id)) {
        const bool isRead = co_await m_follower.awaitState(id, readDeadline(deadline));
        if (!isKnown(id))
            co_return isRead ? CancelOutcome::NoSuchJob : CancelOutcome::Refused;
    }
    if (!isCustomerKnown(id, caller))
        co_await m_follower.refresh(readDeadline(deadline));
    if (!isCustomerKnown(id, caller))
        co_return CancelOutcome::Refused;
    if (!maySee(id, caller)) {
        LOG4CXX_INFO(partLogger,
                     "event=cancel job=" << id << customerField(caller)
                                         << " outcome=other-customer");
        co_return CancelOutcome::NoSuchJob;
    }
    const Jobs::Cancellation cancellation { id };
    std::vector<Jobs::StoredRecord> records = Jobs::encodeRecord(cancellation);
    const WriteOutcome outcome
        = co_await m_writer.write(std::move(records), deadline - responseMargin);
    LOG4CXX_INFO(partLogger,
                 "event=cancel job=" << id << customerField(caller)
                                     << " outcome=" << outcomeText(outcome));
    if (outcome == WriteOutcome::Written)
        co_return CancelOutcome::Cancelled;
    co_return outcome == WriteOutcome::Unknown ? CancelOutcome::Unknown : CancelOutcome::Refused;
}

asio::awaitable<JobLookup> JobRequestService::find(Jobs::JobId id, Core::Instant deadline,
                                                   Caller caller)
{
    std::optional<Jobs::JobState> state = m_state.table.findState(id);
    // The owner's table is the most recent one.
    const bool isOwnerAndCurrent
        = m_state.owner && m_state.tableFreshness.isCurrent(Core::suspendAwareNow());
    const bool isAuthoritative = state && (Jobs::isFinal(*state) || isOwnerAndCurrent);
    bool isFresh = true;
    // The state of a job that hasn't ended may be old in a copy that was never complete.
    const Core::Instant freshBy = m_state.tableFreshness.wasEverComplete()
        ? refreshDeadline(deadline)
        : readDeadline(deadline);
    if (!isAuthoritative && state)
        isFresh = co_await m_follower.refresh(freshBy);
    else if (!isAuthoritative)
        isFresh = co_await m_follower.awaitState(id, readDeadline(deadline));
    state = m_state.table.findState(id);
    if (state && !maySee(id, caller)) {
        LOG4CXX_INFO(partLogger,
                     "event=find job=" << id << customerField(caller) << " outcome=other-customer");
        co_return JobLookup { FindOutcome::NoSuchJob, Jobs::JobState::Queued };
    }
    if (state && !isCustomerKnown(id, caller))
        isFresh = false;
    else if (state)
        co_return JobLookup { FindOutcome::Found, *state };
    LOG4CXX_INFO(partLogger,
                 "event=find job=" << id << customerField(caller)
                                   << " outcome=" << (isFresh ? "no-such-job" : "unavailable"));
    co_return JobLookup { isFresh ? FindOutcome::NoSuchJob : FindOutcome::Unavailable,
                          Jobs::JobState::Queued };
}

asio::awaitable<WaitingCount> JobRequestService::countWaiting(Jobs::QueueId queue,
                                                              Core::Instant deadline, Caller caller)
{
    const CopyFreshness &freshness = m_state.tableFreshness;
    if (!freshness.isCurrent(Core::suspendAwareNow()))
        co_await m_follower.refresh(refreshDeadline(deadline));
    const Core::Instant now = Core::suspendAwareNow();
    const bool isCurrent = freshness.isCurrent(now);
    const std::int64_t count = m_state.table.waitingCount(queue);
    LOG4CXX_INFO(partLogger,
                 "event=waiting queue=" << queue << customerField(caller) << " count=" << count
                                        << " outcome=" << (isCurrent ? "counted" : "unavailable")
                                        << " table_age_ms="
                                        << formatAgeMs(freshness.completeAsOf(), now)
                                        << " offset=" << m_follower.nextOffset());
    if (!isCurrent)
        co_return WaitingCount {};
    co_return WaitingCount { CountOutcome::Counted, count };
}

} // namespace Site
