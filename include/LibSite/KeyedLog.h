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

/// A newer owner has fenced this one off.
class FencedError : public Core::NotDoneError
{
public:
    using Core::NotDoneError::NotDoneError;
};

/// The log had grown beyond the expected offset, or a sequence number wasn't the next.
class ConflictError : public Core::NotDoneError
{
public:
    ConflictError(const std::string &step, const std::string &peer, const std::string &reason,
                  std::int64_t expected)
        : Core::NotDoneError(step, peer, reason)
        , m_expected(expected)
    {
    }

    /// The end of the log, or the sequence number that would have been taken.
    std::int64_t expected() const { return m_expected; }

private:
    std::int64_t m_expected;
};

/// The records asked for have expired.
class HistoryLostError : public Core::Error
{
public:
    using Core::Error::Error;
};

enum class Topic {
    /// Jobs, their progress and their owner; written by us.
    Jobs,
    /// What the operators publish.
    Operators,
    /// What the workers publish about themselves.
    Workers,
};

struct LoggedRecord
{
    std::int64_t offset = 0;
    Jobs::StoredRecord record;

    bool operator==(const LoggedRecord &) const = default;
};

struct LoggedPage
{
    std::vector<LoggedRecord> records;
    /// The offset that the next record will get, as of this answer.
    std::int64_t end = 0;

    bool operator==(const LoggedPage &) const = default;
};

struct NewestPage
{
    std::vector<LoggedRecord> records;
    std::int64_t end = 0;
    /// There are further keys behind the last of this page.
    bool hasMore = false;

    bool operator==(const NewestPage &) const = default;
};

/// Who appends under a fence.
struct FencedWriter
{
    std::int64_t epoch = 0;
    /// Counts the appends of the epoch.
    std::int64_t sequence = 0;

    auto operator<=>(const FencedWriter &) const = default;
};

/// The platform's log of keyed records. The newest record of a key lasts; older ones expire.
///
/// All calls throw Core::NotDoneError if certainly nothing happened, and Core::OutcomeUnknownError
/// if the answer is missing.
class KeyedLog
{
public:
    KeyedLog() = default;
    KeyedLog(const KeyedLog &) = delete;
    KeyedLog &operator=(const KeyedLog &) = delete;
    virtual ~KeyedLog() = default;

    /// Appends to the jobs' topic, all or nothing. Returns the first record's offset.
    virtual boost::asio::awaitable<std::int64_t> append(std::vector<Jobs::StoredRecord> records,
                                                        Core::Instant deadline)
        = 0;
    /// The same if the log ends at \p expectedEnd. \throws ConflictError if it doesn't.
    virtual boost::asio::awaitable<std::int64_t> appendAt(std::vector<Jobs::StoredRecord> records,
                                                          std::int64_t expectedEnd,
                                                          Core::Instant deadline)
        = 0;
    /// The same unless a higher epoch has been seen. A repetition of the last sequence number
    /// changes nothing. Without records it only makes the epoch known.
    /// \throws FencedError, or ConflictError for another sequence number than the next.
    virtual boost::asio::awaitable<std::int64_t>
    appendFenced(std::vector<Jobs::StoredRecord> records, FencedWriter writer,
                 Core::Instant deadline)
        = 0;

    /// Reads from \p from on; waits up to \p waitMs for a first record.
    /// \throws HistoryLostError
    virtual boost::asio::awaitable<LoggedPage> read(Topic topic, std::int64_t from,
                                                    std::int64_t waitMs, Core::Instant deadline)
        = 0;
    /// The newest records of the keys behind \p afterKey, in the order of the keys. The pages of
    /// one pass are no snapshot.
    virtual boost::asio::awaitable<NewestPage> newest(Topic topic, std::string afterKey,
                                                      Core::Instant deadline)
        = 0;
};

} // namespace Site
