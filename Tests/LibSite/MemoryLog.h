#pragma once

#include <LibSite/KeyedLog.h>

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// The platform's log in memory, with the failures that callers must bear.
class MemoryLog final : public Site::KeyedLog
{
public:
    explicit MemoryLog(boost::asio::any_io_executor executor);

    boost::asio::awaitable<std::int64_t> append(std::vector<Jobs::StoredRecord> records,
                                                Core::Instant deadline) override;
    boost::asio::awaitable<std::int64_t> appendAt(std::vector<Jobs::StoredRecord> records,
                                                  std::int64_t expectedEnd,
                                                  Core::Instant deadline) override;
    boost::asio::awaitable<std::int64_t> appendFenced(std::vector<Jobs::StoredRecord> records,
                                                      Site::FencedWriter writer,
                                                      Core::Instant deadline) override;
    boost::asio::awaitable<Site::LoggedPage> read(Site::Topic topic, std::int64_t from,
                                                  std::int64_t waitMs,
                                                  Core::Instant deadline) override;
    boost::asio::awaitable<Site::NewestPage> newest(Site::Topic topic, std::string afterKey,
                                                    Core::Instant deadline) override;

    /// Writes as the platform does.
    void put(Site::Topic topic, const Jobs::StoredRecord &record);
    /// Expires all but the newest record of each key.
    void compact(Site::Topic topic);
    /// All that was ever appended, also what has expired.
    const std::vector<Site::LoggedRecord> &history(Site::Topic topic);

    /// Calls are refused, and nothing happens.
    bool isDown = false;
    /// Reads are refused, and appends happen.
    bool refusesReads = false;
    /// Reads of this topic are refused; everything else works.
    std::optional<Site::Topic> unreadable;
    /// Appends happen, and their answers are lost.
    bool losesAnswers = false;
    /// How long the answer to an append is on its way.
    std::int64_t answerMs = 0;
    /// How long a page of the newest records is on its way; a call that would end after its
    /// deadline isn't answered.
    std::int64_t pageMs = 1;
    /// An append of more bytes is refused.
    std::size_t mostBytesPerCall = 2000000;
    /// So is one that contains a record of more bytes.
    std::size_t mostBytesPerRecord = 262144;
    /// How fast appends arrive; one that wouldn't arrive by its deadline isn't carried out, and its
    /// caller can't know. 0: at once.
    std::int64_t bytesPerMs = 0;
    /// How long the answer to a read is on its way.
    std::int64_t readAnswerMs = 0;
    int appends = 0;
    /// Appends under a condition, whether it held or not.
    int conditionalAppends = 0;
    int reads = 0;

private:
    struct Stored
    {
        std::vector<Site::LoggedRecord> records;
        std::vector<Site::LoggedRecord> history;
        std::int64_t end = 0;
        std::int64_t firstRetained = 0;
    };

    boost::asio::awaitable<void> delay(std::int64_t milliseconds);
    boost::asio::awaitable<void> sendRecords(std::vector<Jobs::StoredRecord> records,
                                             Core::Instant deadline);
    boost::asio::awaitable<void> deliverPage(Core::Instant deadline);
    boost::asio::awaitable<std::int64_t> store(std::vector<Jobs::StoredRecord> records);
    boost::asio::awaitable<void> deliverAnswer();
    void refuseIfDown(const std::string &step) const;
    void refuseIfUnreadable(Site::Topic topic, const std::string &step) const;

    boost::asio::any_io_executor m_executor;
    std::map<Site::Topic, Stored> m_topics;
    std::int64_t m_epoch = 0;
    std::int64_t m_lastSequence = -1;
    std::int64_t m_lastOffset = 0;
};
