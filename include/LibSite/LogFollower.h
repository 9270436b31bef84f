#pragma once

#include <LibSite/KeyedLog.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Site {

/// Receives the records of a topic in their order.
class RecordSink
{
public:
    RecordSink() = default;
    RecordSink(const RecordSink &) = delete;
    RecordSink &operator=(const RecordSink &) = delete;
    virtual ~RecordSink() = default;

    /// The newest record of every key follows; what isn't among them is gone.
    virtual void beginSnapshot() = 0;
    virtual void endSnapshot() = 0;
    virtual void apply(const LoggedRecord &record) = 0;
};

/// Keeps a sink in step with a topic: first the newest record of each key, then what is appended.
class LogFollower
{
public:
    LogFollower(KeyedLog &log, Topic topic, RecordSink &sink);

    /// Makes one call: for the next page of the newest records, or for what follows the last
    /// record read, for which it waits up to \p waitMs. What a call has brought is kept when a
    /// later one fails. One page is read at a time. True if the end of the log was reached. \throws
    /// Core::Error if the log can't be read.
    boost::asio::awaitable<bool> readOnce(std::int64_t waitMs);
    /// The newest records of the keys are still to be read.
    bool needsSnapshot() const { return !m_hasSnapshot; }

    /// How many records the snapshot holds that is being read, or was read last.
    std::size_t snapshotSize() const { return m_snapshotSize; }
    /// The offset of the next record to be read.
    std::int64_t nextOffset() const { return m_next; }

private:
    boost::asio::awaitable<void> readSnapshotPage();
    boost::asio::awaitable<LoggedPage> readPage(std::int64_t waitMs);
    void takeSnapshot();
    void applyPage(const LoggedPage &page);
    void dropSnapshot();

    KeyedLog &m_log;
    Topic m_topic;
    RecordSink &m_sink;
    std::int64_t m_next = 0;
    bool m_hasSnapshot = false;
    /// The pages of the snapshot that have been read, up to the key `m_afterKey`.
    std::vector<LoggedRecord> m_snapshot;
    std::string m_afterKey;
    /// The end of the log when the first of them was read; -1 before.
    std::int64_t m_snapshotBegin = -1;
    std::size_t m_snapshotSize = 0;
};

} // namespace Site
