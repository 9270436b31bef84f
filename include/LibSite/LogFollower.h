#pragma once

#include <LibSite/KeyedLog.h>

#include <cstddef>
#include <cstdint>

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

    /// Reads once from where the last read ended; waits up to \p waitMs for a record. True if the
    /// end of the log was reached. \throws Core::Error if the log can't be read.
    boost::asio::awaitable<bool> read(std::int64_t waitMs, Core::Instant deadline);

    /// How many records the snapshot holds that is being read, or was read last.
    std::size_t snapshotSize() const { return m_snapshotSize; }
    /// The offset of the next record to be read.
    std::int64_t nextOffset() const { return m_next; }
    /// Takes note of our own append: its records needn't be read. True if they were the next.
    bool skipOwn(std::int64_t offset, std::int64_t count);

private:
    boost::asio::awaitable<void> readSnapshot(Core::Instant deadline);
    void applyPage(const LoggedPage &page);

    KeyedLog &m_log;
    Topic m_topic;
    RecordSink &m_sink;
    std::int64_t m_next = 0;
    bool m_hasSnapshot = false;
    std::size_t m_snapshotSize = 0;
};

} // namespace Site
