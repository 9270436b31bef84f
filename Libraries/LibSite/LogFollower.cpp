#include <LibSite/LogFollower.h>

namespace Site {

namespace asio = boost::asio;

LogFollower::LogFollower(KeyedLog &log, Topic topic, RecordSink &sink)
    : m_log(log)
    , m_topic(topic)
    , m_sink(sink)
{
}

asio::awaitable<void> LogFollower::readSnapshot(Core::Instant deadline)
{
    std::vector<LoggedRecord> records;
    std::string afterKey;
    std::int64_t begin = -1;
    bool hasMore = true;
    while (hasMore) {
        NewestPage page = co_await m_log.newest(m_topic, afterKey, deadline);
        // What changes while the pages are read is read again from the end as of the first.
        if (begin < 0)
            begin = page.end;
        hasMore = page.hasMore && !page.records.empty();
        if (!page.records.empty())
            afterKey = page.records.back().record.key;
        for (LoggedRecord &record : page.records)
            records.push_back(std::move(record));
        m_snapshotSize = records.size();
    }
    m_sink.beginSnapshot();
    for (const LoggedRecord &record : records)
        m_sink.apply(record);
    m_sink.endSnapshot();
    m_next = begin;
    m_hasSnapshot = true;
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

asio::awaitable<bool> LogFollower::read(std::int64_t waitMs, Core::Instant deadline)
{
    if (!m_hasSnapshot) {
        co_await readSnapshot(deadline);
        waitMs = 0;
    }
    const std::int64_t from = m_next;
    LoggedPage page;
    try {
        page = co_await m_log.read(m_topic, from, waitMs, deadline);
    } catch (const HistoryLostError &) {
        // Another read may have gone on meanwhile.
        if (m_next == from)
            m_hasSnapshot = false;
        throw;
    }
    applyPage(page);
    co_return m_next >= page.end;
}

bool LogFollower::skipOwn(std::int64_t offset, std::int64_t count)
{
    if (offset != m_next)
        return false;
    m_next = offset + count;
    return true;
}

} // namespace Site
