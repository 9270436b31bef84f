#include <LibSite/JobDesk.h>

#include <LibCore/SteadyClock.h>
#include <LibLog/Logging.h>

#include <algorithm>

namespace Site {

namespace asio = boost::asio;

/// How long a request waits for the store when the answer is known well enough without it.
static constexpr Core::Duration longestRefresh = std::chrono::milliseconds(500);
/// How long a write is tried before the caller is sent to another node.
static constexpr Core::Duration longestWrite = std::chrono::milliseconds(2000);
/// What an answer needs on its way to the caller.
static constexpr Core::Duration answerMargin = std::chrono::milliseconds(200);
static const auto partLogger = Log::logger("desk");

static const char *text(WriteOutcome outcome)
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

JobDesk::JobDesk(SiteState &state, JobFollower &follower, RecordWriter &writer)
    : m_state(state)
    , m_follower(follower)
    , m_writer(writer)
{
}

static Core::Instant writeDeadline(Core::Instant deadline)
{
    return std::min(deadline - answerMargin, Core::steadyNow() + longestWrite);
}

static Core::Instant refreshDeadline(Core::Instant deadline)
{
    return std::min(deadline, Core::steadyNow() + longestRefresh) - answerMargin;
}

asio::awaitable<SubmitOutcome> JobDesk::submit(Jobs::Submission submission, Core::Instant deadline)
{
    const Jobs::JobId id = submission.id;
    if (m_state.table.find(id)) {
        LOG4CXX_INFO(partLogger, "event=submit job=" << id << " outcome=known");
        co_return SubmitOutcome::Accepted;
    }
    if (!m_state.health.isReachable()) {
        LOG4CXX_INFO(partLogger, "event=submit job=" << id << " outcome=refused reason=store-lost");
        co_return SubmitOutcome::Refused;
    }
    const Core::Instant began = Core::steadyNow();
    Jobs::StoredRecord record = Jobs::encodeRecord(submission).front();
    const Core::Instant latest = writeDeadline(deadline);
    const WriteOutcome outcome = co_await m_writer.write(std::move(record), latest);
    const auto tookMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(Core::steadyNow() - began);
    LOG4CXX_INFO(partLogger,
                 "event=submit job=" << id << " queue=" << submission.queue.id
                                     << " outcome=" << text(outcome) << " ms=" << tookMs.count());
    if (outcome == WriteOutcome::Written)
        co_return SubmitOutcome::Accepted;
    co_return outcome == WriteOutcome::Unknown ? SubmitOutcome::Unknown : SubmitOutcome::Refused;
}

Core::Instant JobDesk::readDeadline(Core::Instant deadline) const
{
    // A process that is leaving has no time to wait for a long read.
    return m_state.isLeaving ? refreshDeadline(deadline) : deadline - answerMargin;
}

asio::awaitable<CancelOutcome> JobDesk::cancel(Jobs::JobId id, Core::Instant deadline)
{
    if (!m_state.table.find(id)) {
        const bool isFresh = co_await m_follower.refresh(readDeadline(deadline));
        if (!m_state.table.find(id))
            co_return isFresh ? CancelOutcome::NoSuchJob : CancelOutcome::Refused;
    }
    const Jobs::Cancellation cancellation { id };
    Jobs::StoredRecord record = Jobs::encodeRecord(cancellation).front();
    const WriteOutcome outcome
        = co_await m_writer.write(std::move(record), deadline - answerMargin);
    LOG4CXX_INFO(partLogger, "event=cancel job=" << id << " outcome=" << text(outcome));
    if (outcome == WriteOutcome::Written)
        co_return CancelOutcome::Cancelled;
    co_return outcome == WriteOutcome::Unknown ? CancelOutcome::Unknown : CancelOutcome::Refused;
}

asio::awaitable<JobFinding> JobDesk::find(Jobs::JobId id, Core::Instant deadline)
{
    JobFinding finding;
    const Jobs::JobEntry *entry = m_state.table.find(id);
    // The owner's table is the newest; an end never changes.
    const bool isOwnersAndCurrent
        = m_state.owner && m_state.freshness.isCurrent(Core::suspendAwareNow());
    const bool isCertain = entry && (entry->isOver() || isOwnersAndCurrent);
    bool isFresh = true;
    if (!isCertain) {
        isFresh = co_await m_follower.refresh(entry ? refreshDeadline(deadline)
                                                    : readDeadline(deadline));
        entry = m_state.table.find(id);
    }
    if (entry)
        finding = { FindOutcome::Found, entry->state() };
    if (entry)
        co_return finding;
    LOG4CXX_INFO(partLogger,
                 "event=find job=" << id
                                   << " outcome=" << (isFresh ? "no-such-job" : "unavailable"));
    finding.outcome = isFresh ? FindOutcome::NoSuchJob : FindOutcome::Unavailable;
    co_return finding;
}

asio::awaitable<WaitingCount> JobDesk::countWaiting(Jobs::QueueId queue, Core::Instant deadline)
{
    const CopyFreshness &freshness = m_state.freshness;
    if (!freshness.isCurrent(Core::suspendAwareNow()))
        co_await m_follower.refresh(refreshDeadline(deadline));
    const Core::Instant now = Core::suspendAwareNow();
    const bool isCurrent = freshness.isCurrent(now);
    const std::int64_t count = m_state.table.waitingCount(queue);
    LOG4CXX_INFO(partLogger,
                 "event=waiting queue=" << queue << " count=" << count
                                        << " outcome=" << (isCurrent ? "counted" : "unavailable")
                                        << " table_age_ms="
                                        << ageText(freshness.completeAsOf(), now)
                                        << " offset=" << m_follower.nextOffset());
    if (!isCurrent)
        co_return WaitingCount {};
    co_return WaitingCount { CountOutcome::Counted, count };
}

} // namespace Site
