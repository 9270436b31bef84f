#pragma once

#include <LibCore/Error.h>
#include <LibCore/Time.h>
#include <LibJob/JobRecord.h>

#include <utility>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Site {

/// The request was rejected because its fencing token is lower than one seen from a newer owner.
class FencedError : public Core::NotDoneError
{
public:
    using Core::NotDoneError::NotDoneError;
};

/// The log didn't end at the expected offset, or the sequence number wasn't the next one.
class ConflictError : public Core::NotDoneError
{
public:
    ConflictError(const std::string &step, const std::string &peer, const std::string &reason,
                  std::int64_t expected)
        : Core::NotDoneError(step, peer, reason)
        , m_expected(expected)
    {
    }

    /// The log's end offset, or the sequence number that the store would have accepted.
    std::int64_t expected() const { return m_expected; }

private:
    std::int64_t m_expected;
};

/// The requested records have expired; the newest record of each key must be read instead.
class HistoryLostError : public Core::Error
{
public:
    using Core::Error::Error;
};

enum class Topic {
    /// Jobs, their progress and their owner; written by the nodes of the site.
    Jobs,
    /// The catalogue and the failure domains out of service; written by the operators.
    Operators,
    /// Descriptions of the workers; written by the workers.
    Workers,
};

/// The topic's name in logs and metrics.
constexpr const char *topicText(Topic topic)
{
    switch (topic) {
    case Topic::Jobs:
        return "jobs";
    case Topic::Operators:
        return "operators";
    case Topic::Workers:
        return "workers";
    }
    return "unknown";
}

struct LoggedRecord
{
    std::int64_t offset = 0;
    Jobs::StoredRecord record;

    bool operator==(const LoggedRecord &) const = default;
};

struct LogPage
{
    std::vector<LoggedRecord> records;
    /// The log's end offset as of this answer: the offset that the next record will get.
    std::int64_t end = 0;
    /// The offset after the last record of the answer that can't be read and so isn't among
    /// `records`; 0 if there is none.
    std::int64_t skippedEnd = 0;

    bool operator==(const LogPage &) const = default;
};

/// The newest records of some keys, in the order of the keys.
struct NewestRecordsPage
{
    std::vector<LoggedRecord> records;
    /// The log's end offset as of this answer.
    std::int64_t end = 0;
    /// The log has keys after the last one of this page.
    bool hasMore = false;
    /// The last key of the answer, if its record can't be read and so isn't among `records`;
    /// otherwise empty.
    std::string skippedKey = {};

    bool operator==(const NewestRecordsPage &) const = default;
};

/// Identifies a fenced append.
struct FencedWriter
{
    /// The owner's fencing token.
    std::int64_t epoch = 0;
    /// Numbers the appends of the epoch, so that the store recognizes a retry.
    std::int64_t sequence = 0;

    auto operator<=>(const FencedWriter &) const = default;
};

/// The platform's compacted log of keyed records: the newest record of each key is retained, older
/// records expire.
///
/// Deadlines are on the steady clock. All calls throw Core::NotDoneError if certainly nothing was
/// done, and Core::OutcomeUnknownError if no answer arrived or the answer leaves the outcome open.
class KeyedLog
{
public:
    KeyedLog() = default;
    KeyedLog(const KeyedLog &) = delete;
    KeyedLog &operator=(const KeyedLog &) = delete;
    virtual ~KeyedLog() = default;

    /// Appends to the jobs topic atomically. Returns the offset of the first record.
    virtual boost::asio::awaitable<std::int64_t> append(std::vector<Jobs::StoredRecord> records,
                                                        Core::Instant deadline)
        = 0;
    /// Like `append()`, but only if the log's end offset is \p expectedEnd.
    /// \throws ConflictError if it is another one.
    virtual boost::asio::awaitable<std::int64_t> appendAt(std::vector<Jobs::StoredRecord> records,
                                                          std::int64_t expectedEnd,
                                                          Core::Instant deadline)
        = 0;
    /// Like `append()`, but only if the store has seen no higher epoch. A retry with the last
    /// sequence number has no effect. A call without records only announces the epoch.
    /// \throws FencedError if the store has seen a higher epoch.
    /// \throws ConflictError if the sequence number is neither the last nor the next one.
    virtual boost::asio::awaitable<std::int64_t>
    appendFenced(std::vector<Jobs::StoredRecord> records, FencedWriter writer,
                 Core::Instant deadline)
        = 0;

    /// Reads the records from offset \p from on. If there are none, the store waits up to \p waitMs
    /// milliseconds for the first one.
    /// \throws HistoryLostError if records from \p from on have expired.
    virtual boost::asio::awaitable<LogPage> read(Topic topic, std::int64_t from,
                                                 std::int64_t waitMs, Core::Instant deadline)
        = 0;
    /// Reads the next page of the newest records of the keys after \p afterKey, in the order of the
    /// keys. Records may change between pages, so that the pages together are no consistent view.
    virtual boost::asio::awaitable<NewestRecordsPage> readNewest(Topic topic, std::string afterKey,
                                                                 Core::Instant deadline)
        = 0;
};

} // namespace Site
