#include <LibSite/JobFollower.h>

#include <LibCore/SteadyClock.h>
#include <LibLog/Logging.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Site {

namespace asio = boost::asio;

// The owner reads by long polls, so that it learns of new jobs at once; the other nodes read at
// intervals.
static constexpr std::int64_t ownerReadWaitMs = 1000;
static constexpr Core::Duration ownerReadPause = std::chrono::milliseconds(25);
static constexpr Core::Duration nonOwnerReadPause = std::chrono::milliseconds(250);
static constexpr Core::Duration retryDelay = std::chrono::milliseconds(250);
/// Failed reads are logged at most this often.
static constexpr Core::Duration failureLogInterval = std::chrono::seconds(1);
/// Minimum time between the starts of two reads; callers that arrive in between share the next one.
static constexpr Core::Duration minReadInterval = std::chrono::milliseconds(20);
static const auto partLogger = Log::essentialLogger("jobs");

JobFollower::JobFollower(SiteState &state, KeyedLog &log, const asio::any_io_executor &executor)
    : m_state(state)
    , m_follower(log, Topic::Jobs, *this)
    , m_executor(executor)
    , m_wakeup(executor)
    , m_pacingTimer(executor)
{
}

asio::awaitable<JobFollower::ReadResult> JobFollower::readOnce(std::int64_t waitMs)
{
    try {
        const Core::Instant sentAt = Core::suspendAwareNow();
        const bool isAtEnd = co_await m_follower.readOnce(waitMs);
        onReadAnswered();
        if (isAtEnd)
            onReadToEnd(sentAt);
        // The page may tell the state that a caller waits for.
        else if (!m_state.tableFreshness.wasEverComplete())
            wakeWaiters();
        co_return isAtEnd ? ReadResult::AtEnd : ReadResult::Behind;
    } catch (const HistoryLostError &error) {
        LOG4CXX_INFO(partLogger, "event=history-lost reason=\"" << error.what() << '"');
    } catch (const Core::Error &error) {
        onReadFailed(error.what());
    }
    co_return ReadResult::Failed;
}

asio::awaitable<bool> JobFollower::readToEnd()
{
    m_isPolling = m_state.owner != nullptr && !m_follower.needsSnapshot();
    ReadResult result = co_await readOnce(m_isPolling ? ownerReadWaitMs : 0);
    m_isPolling = false;
    while (result == ReadResult::Behind && !m_isStopping)
        result = co_await readOnce(0);
    co_return result == ReadResult::AtEnd;
}

asio::awaitable<bool> JobFollower::readDetails(Core::Instant until)
{
    bool isRead = true;
    if (!m_follower.needsDetails())
        co_return isRead;
    try {
        while (m_follower.needsDetails() && !m_isStopping && Core::steadyNow() < until)
            co_await m_follower.readDetails();
        onReadAnswered();
    } catch (const Core::Error &error) {
        onReadFailed(error.what());
        isRead = false;
    }
    if (m_follower.hasDetails())
        LOG4CXX_INFO(partLogger,
                     "event=detailed snapshot_records=" << m_follower.snapshotSize() << ' '
                                                        << m_snapshotBytes);
    // A page may tell the state that a caller waits for.
    wakeWaiters();
    co_return isRead;
}

void JobFollower::onReadToEnd(Core::Instant sentAt)
{
    m_state.ownerMonitor.noteRead(true, Core::steadyNow());
    if (!m_state.tableFreshness.wasEverComplete())
        logCaughtUp();
    m_state.tableFreshness.markCompleteAsOf(sentAt);
    // What has ended before the last page of details was read is known only now.
    if (!m_isDetailed && m_follower.hasDetails()) {
        m_isDetailed = true;
        m_state.table.dropAcceptedWithoutSubmission();
    }
    wakeWaiters();
}

void JobFollower::logCaughtUp() const
{
    const auto &jobs = m_state.table.jobs();
    const auto ended = std::count_if(jobs.begin(), jobs.end(),
                                     [](const auto &entry) { return entry.second.isOver(); });
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(Core::steadyNow()
                                                                               - m_snapshotBeganAt);
    LOG4CXX_INFO(partLogger,
                 "event=caught-up jobs="
                     << jobs.size() << " ended=" << ended << " offset=" << m_follower.nextOffset()
                     << " snapshot_records=" << m_follower.snapshotSize() << ' ' << m_snapshotBytes
                     << " since_first_page_ms=" << elapsed.count());
}

void JobFollower::onReadAnswered()
{
    if (m_state.health.noteSuccess(Core::steadyNow()))
        LOG4CXX_INFO(partLogger, "event=regained dependency=store");
}

void JobFollower::onReadFailed(const std::string &reason)
{
    const Core::Instant now = Core::steadyNow();
    m_state.ownerMonitor.noteRead(false, now);
    if (m_state.health.noteFailure(now))
        LOG4CXX_WARN(partLogger, "event=lost dependency=store reason=\"" << reason << '"');
    ++m_unloggedFailures;
    if (now < m_nextFailureLogAt)
        return;
    m_nextFailureLogAt = now + failureLogInterval;
    const std::string age
        = formatAgeMs(m_state.tableFreshness.completeAsOf(), Core::suspendAwareNow());
    LOG4CXX_WARN(partLogger,
                 "event=read-failed failures=" << m_unloggedFailures << " table_age_ms=" << age
                                               << " offset=" << m_follower.nextOffset()
                                               << " snapshot_records=" << m_follower.snapshotSize()
                                               << " reason=\"" << reason << '"');
    m_unloggedFailures = 0;
}

asio::awaitable<void> JobFollower::run()
{
    m_isStopping = false;
    while (!m_isStopping) {
        const Core::Instant began = Core::steadyNow();
        const bool isRead = co_await readToEnd();
        m_lastReadBeganAt = std::max(m_lastReadBeganAt, began);
        wakeWaiters();
        const bool areDetailsRead
            = isRead && co_await readDetails(Core::steadyNow() + nonOwnerReadPause);
        Core::Duration pause = retryDelay;
        if (areDetailsRead)
            pause = m_state.owner ? ownerReadPause : nonOwnerReadPause;
        if (areDetailsRead && m_follower.needsDetails())
            pause = {};
        const Core::Instant earliest = isRead ? began + minReadInterval : began + retryDelay;
        co_await m_wakeup.sleepUntil(Core::steadyNow() + pause);
        co_await m_pacingTimer.sleepUntil(earliest);
    }
}

void JobFollower::requestStop()
{
    m_isStopping = true;
    m_wakeup.wake();
}

asio::awaitable<void> JobFollower::readDuringPoll()
{
    const Core::Instant began = Core::steadyNow();
    ReadResult result = ReadResult::Behind;
    // Only run() reads snapshots.
    if (!m_follower.needsSnapshot())
        result = co_await readOnce(0);
    if (result != ReadResult::Behind)
        m_lastReadBeganAt = std::max(m_lastReadBeganAt, began);
    m_isReadingDuringPoll = false;
    wakeWaiters();
}

void JobFollower::wakeWaiters()
{
    for (Supervision::Wakeup *waiter : m_waiters)
        waiter->wake();
}

bool JobFollower::isCompleteAsOf(Core::Instant instant) const
{
    const std::optional<Core::Instant> asOf = m_state.tableFreshness.completeAsOf();
    return asOf && *asOf >= instant;
}

void JobFollower::requestRead()
{
    // A second read is useful only while a long poll waits for new records.
    if (!m_isPolling) {
        m_wakeup.wake();
        return;
    }
    if (m_isReadingDuringPoll)
        return;
    m_isReadingDuringPoll = true;
    asio::co_spawn(m_executor, readDuringPoll(), asio::detached);
}

asio::awaitable<void> JobFollower::readUntil(std::function<bool()> isEnough, Core::Instant deadline)
{
    const Core::Instant arrived = Core::steadyNow();
    Supervision::Wakeup wakeup(m_executor);
    m_waiters.insert(&wakeup);
    while (!isEnough() && m_lastReadBeganAt < arrived && Core::steadyNow() < deadline) {
        requestRead();
        co_await wakeup.sleepUntil(deadline);
    }
    m_waiters.erase(&wakeup);
}

asio::awaitable<bool> JobFollower::refresh(Core::Instant deadline)
{
    const Core::Instant wanted = Core::suspendAwareNow();
    std::function<bool()> isEnough = [this, wanted] { return isCompleteAsOf(wanted); };
    co_await readUntil(std::move(isEnough), deadline);
    co_return isCompleteAsOf(wanted);
}

asio::awaitable<bool> JobFollower::awaitState(const Jobs::JobId &job, Core::Instant deadline)
{
    const Core::Instant wanted = Core::suspendAwareNow();
    const auto isTold = [this, job, wanted] {
        return m_state.table.findState(job).has_value() || (isDetailed() && isCompleteAsOf(wanted));
    };
    std::function<bool()> isEnough = isTold;
    co_await readUntil(std::move(isEnough), deadline);
    co_return isTold();
}

void JobFollower::beginSnapshot()
{
    m_isInSnapshot = true;
    m_snapshotBytes = {};
    m_snapshotBeganAt = Core::steadyNow();
    m_state.table.clear();
    m_state.leaseSuspensions.clear();
}

void JobFollower::applyDetail(const LoggedRecord &record)
{
    m_isInSnapshot = true;
    apply(record);
    m_isInSnapshot = false;
}

void JobFollower::endSnapshot()
{
    m_isInSnapshot = false;
}

Jobs::JobRecord JobFollower::decode(const Jobs::StoredRecord &stored)
{
    std::optional<Jobs::ProgressRecord> sent = m_sentProgress.take(stored);
    if (sent)
        return std::move(*sent);
    return Jobs::decodeRecord(stored);
}

void JobFollower::apply(const LoggedRecord &logged)
{
    if (m_isInSnapshot)
        m_snapshotBytes.add(logged.record);
    try {
        applyJobRecord(logged, decode(logged.record));
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
        m_state.ownerMonitor.noteClaim(logged.offset, *claim, now);
        LOG4CXX_INFO(partLogger,
                     "event=claim-seen owner=" << claim->node << " term=" << claim->term
                                               << " offset=" << logged.offset
                                               << " released=" << claim->isReleased);
        if (m_state.owner)
            m_state.owner->onClaim();
        return;
    }
    const bool isFromOwner = std::holds_alternative<Jobs::ProgressRecord>(record)
        || std::holds_alternative<Jobs::JobWorkers>(record)
        || std::holds_alternative<Jobs::Heartbeat>(record)
        || std::holds_alternative<Jobs::LeaseSuspension>(record)
        || std::holds_alternative<Jobs::RecordRemoval>(record)
        || std::holds_alternative<Jobs::JobDeletion>(record);
    if (isFromOwner && !m_isInSnapshot)
        m_state.ownerMonitor.noteOwnerWrite(now);
    m_state.table.apply(record);
    if (const auto *suspension = std::get_if<Jobs::LeaseSuspension>(&record))
        m_state.leaseSuspensions.apply(*suspension, Core::suspendAwareNow());
    if (!m_state.owner)
        return;
    if (const auto *submission = std::get_if<Jobs::Submission>(&record))
        m_state.owner->onJob(*m_state.table.find(submission->id));
    if (const auto *cancellation = std::get_if<Jobs::Cancellation>(&record))
        m_state.owner->onCancellation(cancellation->id);
}

} // namespace Site
