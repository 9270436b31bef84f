#include <LibSite/JobFollower.h>

#include <LibCore/SteadyClock.h>
#include <LibLog/Logging.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Site {

namespace asio = boost::asio;

// The owner learns of new jobs at once; the others only follow.
static constexpr std::int64_t ownersReadWaitMs = 1000;
static constexpr std::int64_t followersReadWaitMs = 300;
static constexpr Core::Duration ownersReadSpacing = std::chrono::milliseconds(25);
static constexpr Core::Duration followersReadSpacing = std::chrono::milliseconds(250);
static constexpr Core::Duration retrySpacing = std::chrono::milliseconds(250);
/// The log says at most this often that reads fail.
static constexpr Core::Duration failureReportSpacing = std::chrono::seconds(1);
/// Refreshing reads begin at least this far apart; callers that come meanwhile share the next.
static constexpr Core::Duration refreshSpacing = std::chrono::milliseconds(20);
static const auto partLogger = Log::logger("jobs");

JobFollower::JobFollower(SiteState &state, KeyedLog &log, const asio::any_io_executor &executor)
    : m_state(state)
    , m_follower(log, Topic::Jobs, *this)
    , m_executor(executor)
    , m_wakeup(executor)
{
}

asio::awaitable<bool> JobFollower::readToEnd(std::int64_t waitMs, SnapshotReading snapshotReading)
{
    try {
        bool isAtEnd = false;
        Core::Instant sentAt = {};
        while (!isAtEnd) {
            const bool isLeftToOther
                = snapshotReading == SnapshotReading::Forbidden && m_follower.needsSnapshot();
            if (m_isStopping || isLeftToOther)
                co_return false;
            sentAt = Core::suspendAwareNow();
            isAtEnd = co_await m_follower.readOnce(waitMs);
            noteAnswer();
            waitMs = 0;
        }
        const Core::Instant now = Core::steadyNow();
        m_state.watch.noteRead(true, now);
        if (!m_state.freshness.wasEverComplete())
            LOG4CXX_INFO(partLogger,
                         "event=caught-up jobs="
                             << m_state.table.jobs().size() << " offset=" << m_follower.nextOffset()
                             << " snapshot_records=" << m_follower.snapshotSize());
        m_state.freshness.noteComplete(sentAt);
        wakeWaiting();
        co_return true;
    } catch (const HistoryLostError &error) {
        LOG4CXX_INFO(partLogger, "event=history-lost reason=\"" << error.what() << '"');
    } catch (const Core::Error &error) {
        m_state.watch.noteRead(false, Core::steadyNow());
        noteFailedRead(error.what());
        if (m_state.health.noteFailure(Core::steadyNow()))
            LOG4CXX_WARN(partLogger,
                         "event=lost dependency=store reason=\"" << error.what() << '"');
    }
    co_return false;
}

void JobFollower::noteAnswer()
{
    if (m_state.health.noteSuccess(Core::steadyNow()))
        LOG4CXX_INFO(partLogger, "event=regained dependency=store");
}

void JobFollower::noteFailedRead(const std::string &reason)
{
    ++m_unreportedFailures;
    const Core::Instant now = Core::steadyNow();
    if (now < m_nextFailureReportAt)
        return;
    m_nextFailureReportAt = now + failureReportSpacing;
    const std::string age = ageText(m_state.freshness.completeAsOf(), Core::suspendAwareNow());
    LOG4CXX_WARN(partLogger,
                 "event=read-failed failures=" << m_unreportedFailures << " table_age_ms=" << age
                                               << " offset=" << m_follower.nextOffset()
                                               << " snapshot_records=" << m_follower.snapshotSize()
                                               << " reason=\"" << reason << '"');
    m_unreportedFailures = 0;
}

asio::awaitable<void> JobFollower::run()
{
    m_isStopping = false;
    while (!m_isStopping) {
        const bool isOwner = m_state.owner != nullptr;
        const bool isRead = co_await readToEnd(isOwner ? ownersReadWaitMs : followersReadWaitMs,
                                               SnapshotReading::Allowed);
        Core::Duration pause = retrySpacing;
        if (isRead)
            pause = m_state.owner ? ownersReadSpacing : followersReadSpacing;
        co_await m_wakeup.sleepUntil(Core::steadyNow() + pause);
    }
}

void JobFollower::requestStop()
{
    m_isStopping = true;
    m_wakeup.wake();
}

asio::awaitable<void> JobFollower::readForRefresh()
{
    asio::steady_timer timer(m_executor);
    timer.expires_at(Core::toSteadyTimePoint(m_refreshBeganAt + refreshSpacing));
    co_await timer.async_wait(asio::use_awaitable);
    const Core::Instant began = Core::steadyNow();
    co_await readToEnd(0, SnapshotReading::Forbidden);
    m_refreshBeganAt = began;
    m_isRefreshing = false;
    wakeWaiting();
}

void JobFollower::wakeWaiting()
{
    for (Supervision::Wakeup *waiting : m_waiting)
        waiting->wake();
}

bool JobFollower::isCompleteAsOf(Core::Instant instant) const
{
    const std::optional<Core::Instant> asOf = m_state.freshness.completeAsOf();
    return asOf && *asOf >= instant;
}

asio::awaitable<bool> JobFollower::refresh(Core::Instant deadline)
{
    const Core::Instant arrived = Core::steadyNow();
    const Core::Instant wanted = Core::suspendAwareNow();
    Supervision::Wakeup wakeup(m_executor);
    m_waiting.insert(&wakeup);
    while (!isCompleteAsOf(wanted) && m_refreshBeganAt < arrived && Core::steadyNow() < deadline) {
        // The snapshot is read by run() alone; its end is waited for.
        if (!m_isRefreshing && !m_follower.needsSnapshot()) {
            m_isRefreshing = true;
            asio::co_spawn(m_executor, readForRefresh(), asio::detached);
        }
        co_await wakeup.sleepUntil(deadline);
    }
    m_waiting.erase(&wakeup);
    co_return isCompleteAsOf(wanted);
}

void JobFollower::applyOwn(const std::vector<Jobs::JobRecord> &records)
{
    for (const Jobs::JobRecord &record : records)
        m_state.table.apply(record);
}

void JobFollower::beginSnapshot()
{
    m_isInSnapshot = true;
    if (!m_state.owner)
        m_state.table.clear();
}

void JobFollower::endSnapshot()
{
    m_isInSnapshot = false;
}

void JobFollower::apply(const LoggedRecord &logged)
{
    if (m_state.owner && Jobs::isOwnersKey(logged.record.key)) {
        // The owner has applied its own records when they became durable.
        if (!m_isInSnapshot)
            m_state.watch.noteSign(Core::steadyNow());
        return;
    }
    try {
        applyJobRecord(logged, Jobs::decodeRecord(logged.record));
    } catch (const Core::FormatError &error) {
        LOG4CXX_WARN(partLogger,
                     "event=unreadable-record offset=" << logged.offset
                                                       << " key=" << logged.record.key
                                                       << " reason=\"" << error.what() << '"');
    }
}

void JobFollower::applyJobRecord(const LoggedRecord &logged, const Jobs::JobRecord &record)
{
    const Core::Instant now = Core::steadyNow();
    if (const auto *claim = std::get_if<Jobs::OwnerClaim>(&record)) {
        m_state.watch.noteClaim(logged.offset, *claim, now);
        LOG4CXX_INFO(partLogger,
                     "event=claim-seen owner=" << claim->node << " term=" << claim->term
                                               << " offset=" << logged.offset
                                               << " released=" << claim->isReleased);
        if (m_state.owner)
            m_state.owner->onClaim();
        return;
    }
    const bool isFromOwner = std::holds_alternative<Jobs::ProgressRecord>(record)
        || std::holds_alternative<Jobs::Heartbeat>(record)
        || std::holds_alternative<Jobs::JobDropped>(record);
    if (isFromOwner && !m_isInSnapshot)
        m_state.watch.noteSign(now);
    // Other keys of a job that the owner has dropped.
    if (isFromOwner && m_state.owner)
        return;
    m_state.table.apply(record);
    if (!m_state.owner)
        return;
    if (const auto *submission = std::get_if<Jobs::Submission>(&record))
        m_state.owner->onJob(*m_state.table.find(submission->id));
    if (const auto *cancellation = std::get_if<Jobs::Cancellation>(&record))
        m_state.owner->onCancellation(cancellation->id);
}

} // namespace Site
