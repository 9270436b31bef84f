#include <LibSite/LogFollower.h>

#include <LibCore/SteadyClock.h>
#include <LibLog/Logging.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace Site {

namespace asio = boost::asio;

/// Time within which an answer must begin, on top of the time that the store may wait for a record.
static constexpr Core::Duration answerTimeout = std::chrono::milliseconds(900);
/// For a page of a snapshot it doubles with each attempt without an answer, up to this often: many
/// nodes may read their snapshots at the same time, and pages that are given up and sent again are
/// what a slow store is busy with.
static constexpr int maxDoublings = 2;
/// A read is logged as slow if it takes longer, on top of the time that the store may wait.
static constexpr Core::Duration slowReadTime = std::chrono::milliseconds(300);
static constexpr Core::Duration slowReadLogInterval = std::chrono::seconds(1);
static const auto partLogger = Log::essentialLogger("reads");

LogFollower::LogFollower(KeyedLog &log, Topic topic, RecordSink &sink)
    : m_log(log)
    , m_topic(topic)
    , m_sink(sink)
{
}

asio::awaitable<NewestRecordsPage> LogFollower::readNewestPage()
{
    // The other topics are small, and what they hold is waited for.
    const int doublings = m_topic == Topic::Jobs ? std::min(m_unansweredPages, maxDoublings) : 0;
    const Core::Instant deadline = Core::steadyNow() + answerTimeout * (1 << doublings);
    try {
        NewestRecordsPage page = co_await m_log.readNewest(m_topic, m_afterKey, deadline);
        m_unansweredPages = 0;
        co_return page;
    } catch (const Core::OutcomeUnknownError &) {
        m_unansweredPages += Core::steadyNow() >= deadline ? 1 : 0;
        throw;
    }
}

asio::awaitable<void> LogFollower::readSnapshotPage()
{
    NewestRecordsPage page = co_await readNewestPage();
    if (m_endAtSnapshotStart < 0)
        beginSnapshot(page.end);
    const bool isLast = advance(page);
    takeSnapshotRecords(std::move(page.records));
    m_areDetailsMissing = !isLast && m_appliesPages && m_sink.isDetail(m_afterKey);
    if (isLast || m_areDetailsMissing)
        endSnapshot();
}

bool LogFollower::advance(const NewestRecordsPage &page)
{
    if (!page.skippedKey.empty())
        m_afterKey = page.skippedKey;
    else if (!page.records.empty())
        m_afterKey = page.records.back().record.key;
    return !page.hasMore || (page.records.empty() && page.skippedKey.empty());
}

asio::awaitable<void> LogFollower::readDetails()
{
    const NewestRecordsPage page = co_await readNewestPage();
    m_areDetailsMissing = !advance(page);
    m_snapshotSize += page.records.size();
    for (const LoggedRecord &record : page.records)
        m_sink.applyDetail(record);
    m_hasDetails = !m_areDetailsMissing;
}

void LogFollower::beginSnapshot(std::int64_t end)
{
    // Records that are appended while the pages are read are read again, from the end of the log as
    // of the first page.
    m_endAtSnapshotStart = end;
    m_snapshotSize = 0;
    m_appliesPages = !m_sink.mustKeepFormerCopy();
    if (m_appliesPages)
        m_sink.beginSnapshot();
}

void LogFollower::takeSnapshotRecords(std::vector<LoggedRecord> records)
{
    m_snapshotSize += records.size();
    if (!m_appliesPages) {
        std::move(records.begin(), records.end(), std::back_inserter(m_snapshot));
        return;
    }
    for (const LoggedRecord &record : records)
        m_sink.apply(record);
}

void LogFollower::endSnapshot()
{
    if (!m_appliesPages)
        m_sink.beginSnapshot();
    for (const LoggedRecord &record : m_snapshot)
        m_sink.apply(record);
    m_sink.endSnapshot();
    m_nextOffset = m_endAtSnapshotStart;
    m_snapshot = {};
    m_endAtSnapshotStart = -1;
    if (!m_areDetailsMissing)
        m_afterKey.clear();
    m_hasDetails = !m_areDetailsMissing;
    m_hasSnapshot = true;
}

void LogFollower::discardSnapshot()
{
    m_hasSnapshot = false;
    m_areDetailsMissing = false;
    m_snapshot = {};
    m_afterKey.clear();
    m_endAtSnapshotStart = -1;
}

void LogFollower::applyPage(const LogPage &page)
{
    for (const LoggedRecord &record : page.records) {
        // Two reads may be in flight at once, so the other one may have applied the record.
        if (record.offset < m_nextOffset)
            continue;
        m_sink.apply(record);
        m_nextOffset = record.offset + 1;
    }
    m_nextOffset = std::max(m_nextOffset, page.skippedEnd);
}

asio::awaitable<LogPage> LogFollower::readPage(std::int64_t waitMs)
{
    const std::int64_t from = m_nextOffset;
    const Core::Instant deadline
        = Core::steadyNow() + std::chrono::milliseconds(waitMs) + answerTimeout;
    try {
        co_return co_await m_log.read(m_topic, from, waitMs, deadline);
    } catch (const HistoryLostError &) {
        // In the meantime another read may have advanced the offset or discarded the snapshot.
        if (m_hasSnapshot && m_nextOffset == from)
            discardSnapshot();
        throw;
    }
}

asio::awaitable<bool> LogFollower::readOnce(std::int64_t waitMs)
{
    if (!m_hasSnapshot) {
        co_await readSnapshotPage();
        co_return false;
    }
    const Core::Instant beganAt = Core::steadyNow();
    const LogPage page = co_await readPage(waitMs);
    const Core::Instant answeredAt = Core::steadyNow();
    applyPage(page);
    const Core::Instant waitedUntil
        = std::min(answeredAt, beganAt + std::chrono::milliseconds(waitMs));
    const bool isSlow = answeredAt - (page.records.empty() ? waitedUntil : beganAt) > slowReadTime;
    if (isSlow || m_nextOffset < page.end)
        logSlowRead(page, answeredAt - beganAt, answeredAt);
    co_return m_nextOffset >= page.end;
}

void LogFollower::logSlowRead(const LogPage &page, Core::Duration duration, Core::Instant now)
{
    ++m_unloggedSlowReads;
    if (now < m_nextSlowReadLogAt)
        return;
    m_nextSlowReadLogAt = now + slowReadLogInterval;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    LOG4CXX_INFO(partLogger,
                 "event=slow-read topic="
                     << topicText(m_topic) << " ms=" << ms << " records=" << page.records.size()
                     << " behind=" << page.end - m_nextOffset << " reads=" << m_unloggedSlowReads);
    m_unloggedSlowReads = 0;
}

} // namespace Site
