#pragma once

#include <LibSite/KeyedLog.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Site {

/// Receives a snapshot of a topic, and then the appended records in the order of their offsets.
class RecordSink
{
public:
    RecordSink() = default;
    RecordSink(const RecordSink &) = delete;
    RecordSink &operator=(const RecordSink &) = delete;
    virtual ~RecordSink() = default;

    /// True if what the sink holds must stay until a new snapshot is complete. Otherwise it gets
    /// the records of a snapshot page by page, as they arrive.
    virtual bool mustKeepFormerCopy() const { return true; }
    /// True for the keys of records without which the sink is of use already; in the order of keys
    /// they come last.
    virtual bool isDetail(const std::string &) const { return false; }
    /// A record of the snapshot that comes after endSnapshot(), while the log is being followed.
    virtual void applyDetail(const LoggedRecord &record) { apply(record); }
    /// The newest record of every key follows, up to `endSnapshot()`. Keys that aren't among them
    /// no longer exist. Called again without `endSnapshot()` if a snapshot had to be given up.
    virtual void beginSnapshot() = 0;
    virtual void endSnapshot() = 0;
    virtual void apply(const LoggedRecord &record) = 0;
};

/// Keeps a sink in step with a topic: passes on a snapshot with the newest record of each key, and
/// then the records that are appended.
///
/// The first snapshot ends before the pages that hold nothing but details. Those are read by
/// readDetails(), in turns with the log, so that a node can serve before it has them.
class LogFollower
{
public:
    LogFollower(KeyedLog &log, Topic topic, RecordSink &sink);

    /// Reads one page: the next one of the snapshot while `needsSnapshot()`, otherwise the records
    /// from `nextOffset()` on, for the first of which the store waits up to \p waitMs milliseconds.
    /// Pages that were read are kept when a later call fails. Only one call at a time may read a
    /// snapshot; other calls may overlap. Returns true if the end of the log was reached.
    /// \throws Core::Error if the log can't be read; after a HistoryLostError the next calls read
    /// a new snapshot.
    boost::asio::awaitable<bool> readOnce(std::int64_t waitMs);
    /// True until the pages of a snapshot have been read, except those with details only.
    bool needsSnapshot() const { return !m_hasSnapshot; }
    /// True if pages with details remain to be read, and can be read now.
    bool needsDetails() const { return m_hasSnapshot && m_areDetailsMissing; }
    /// True once the sink has got all details. It keeps them while a new snapshot is read.
    bool hasDetails() const { return m_hasDetails; }
    /// Reads the next page of details; needsDetails() must be true, and no other call may be in
    /// progress: then the page is at least as new as all that was passed on before.
    /// \throws Core::Error if the log can't be read.
    boost::asio::awaitable<void> readDetails();

    /// Number of records read of the current snapshot, or of the last one.
    std::size_t snapshotSize() const { return m_snapshotSize; }
    /// The offset of the next record to be read.
    std::int64_t nextOffset() const { return m_nextOffset; }

private:
    boost::asio::awaitable<NewestRecordsPage> readNewestPage();
    boost::asio::awaitable<void> readSnapshotPage();
    void beginSnapshot(std::int64_t end);
    /// Applies the records, or keeps them until the snapshot is complete.
    void takeSnapshotRecords(std::vector<LoggedRecord> records);
    boost::asio::awaitable<LogPage> readPage(std::int64_t waitMs);
    void endSnapshot();
    /// Notes the last key of the page. Returns true if no page of the snapshot follows.
    bool advance(const NewestRecordsPage &page);
    void applyPage(const LogPage &page);
    void discardSnapshot();
    /// Logs, at most once a second, a read that took long or ended before the end of the log.
    void logSlowRead(const LogPage &page, Core::Duration duration, Core::Instant now);

    KeyedLog &m_log;
    Topic m_topic;
    RecordSink &m_sink;
    std::int64_t m_nextOffset = 0;
    bool m_hasSnapshot = false;
    /// The records of the unfinished snapshot are applied as they arrive.
    bool m_appliesPages = false;
    /// Records of the unfinished snapshot that haven't been applied.
    std::vector<LoggedRecord> m_snapshot;
    /// The last key of the snapshot that was read.
    std::string m_afterKey;
    /// Pages with details remain to be read.
    bool m_areDetailsMissing = false;
    bool m_hasDetails = false;
    /// The log's end offset as of the snapshot's first page; -1 before that page.
    std::int64_t m_endAtSnapshotStart = -1;
    std::size_t m_snapshotSize = 0;
    /// Attempts in a row to read a page of the snapshot to which no answer began in time.
    int m_unansweredPages = 0;
    Core::Instant m_nextSlowReadLogAt = {};
    /// Slow reads since the last line about one.
    int m_unloggedSlowReads = 0;
};

} // namespace Site
