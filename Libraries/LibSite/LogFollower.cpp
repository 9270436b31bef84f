#include <LibSite/LogFollower.h>

#include <LibCore/SteadyClock.h>

#include <utility>

namespace Site {

namespace asio = boost::asio;

/// By when an answer has to begin, beyond the time that the log may hold it back.
static constexpr Core::Duration answerTime = std::chrono::milliseconds(900);

LogFollower::LogFollower(KeyedLog &log, Topic topic, RecordSink &sink)
    : m_log(log)
    , m_topic(topic)
    , m_sink(sink)
{
}

asio::awaitable<void> LogFollower::readSnapshotPage()
{
    NewestPage page = co_await m_log.newest(m_topic, m_afterKey, Core::steadyNow() + answerTime);
    // What changes while the pages are read is read again from the end as of the first.
    if (m_snapshotBegin < 0)
        m_snapshotBegin = page.end;
    const bool isLast = !page.hasMore || page.records.empty();
    if (!page.records.empty())
        m_afterKey = page.records.back().record.key;
    for (LoggedRecord &record : page.records)
        m_snapshot.push_back(std::move(record));
    m_snapshotSize = m_snapshot.size();
    if (isLast)
        takeSnapshot();
}

void LogFollower::takeSnapshot()
{
    m_sink.beginSnapshot();
    for (const LoggedRecord &record : m_snapshot)
        m_sink.apply(record);
    m_sink.endSnapshot();
    m_next = m_snapshotBegin;
    dropSnapshot();
    m_hasSnapshot = true;
}

void LogFollower::dropSnapshot()
{
    m_hasSnapshot = false;
    m_snapshot = {};
    m_afterKey.clear();
    m_snapshotBegin = -1;
}

void LogFollower::applyPage(const LoggedPage &page)
{
    for (const LoggedRecord &record : page.records) {
        // Two reads may be under way at once.
        if (record.offset < m_next)
            continue;
        m_sink.apply(record);
        m_next = record.offset + 1;
    }
}

asio::awaitable<LoggedPage> LogFollower::readPage(std::int64_t waitMs)
{
    const std::int64_t from = m_next;
    const Core::Instant latest = Core::steadyNow() + std::chrono::milliseconds(waitMs) + answerTime;
    try {
        co_return co_await m_log.read(m_topic, from, waitMs, latest);
    } catch (const HistoryLostError &) {
        // Another read may have gone on meanwhile, or may be reading a new snapshot already.
        if (m_hasSnapshot && m_next == from)
            dropSnapshot();
        throw;
    }
}

asio::awaitable<bool> LogFollower::readOnce(std::int64_t waitMs)
{
    if (!m_hasSnapshot) {
        co_await readSnapshotPage();
        co_return false;
    }
    const LoggedPage page = co_await readPage(waitMs);
    applyPage(page);
    co_return m_next >= page.end;
}

} // namespace Site
