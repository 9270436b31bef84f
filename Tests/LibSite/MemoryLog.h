#pragma once

#include <LibSite/KeyedLog.h>

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// What happens to one fenced append.
enum class AppendFault {
    None,
    /// It never arrives, and the caller gets no answer before its deadline.
    Lost,
    /// It takes effect, but the caller gets no answer before its deadline.
    Unanswered,
    /// It arrives only after `MemoryLog::delayedArrivalMs`.
    Delayed,
};

/// The platform's log in memory, with faults that tests can inject.
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
    boost::asio::awaitable<Site::LogPage> read(Site::Topic topic, std::int64_t from,
                                               std::int64_t waitMs,
                                               Core::Instant deadline) override;
    boost::asio::awaitable<Site::NewestRecordsPage>
    readNewest(Site::Topic topic, std::string afterKey, Core::Instant deadline) override;

    /// Appends a record at once and without faults, as if another process had written it.
    void put(Site::Topic topic, const Jobs::StoredRecord &record);
    /// Expires all but the newest record of each key.
    void compact(Site::Topic topic);
    /// All records that were ever appended, expired ones included.
    const std::vector<Site::LoggedRecord> &history(Site::Topic topic);

    /// All calls are refused and have no effect.
    bool isDown = false;
    /// Reads are refused; appends work.
    bool refusesReads = false;
    /// Reads of this topic are refused; all other calls work.
    std::optional<Site::Topic> unreadableTopic;
    /// Appends take effect, but their answers are lost.
    bool losesAnswers = false;
    /// What happens to the next fenced appends with records, in their order.
    std::deque<AppendFault> appendFaults;
    std::int64_t delayedArrivalMs = 400;
    /// Delay of the answer to an append.
    std::int64_t answerMs = 0;
    /// Delay of a page of the newest records; a call that would end after its deadline isn't
    /// answered.
    std::int64_t pageMs = 1;
    /// Larger appends are refused.
    std::size_t maxBytesPerCall = 2000000;
    /// Appends that contain a larger record are refused.
    std::size_t maxBytesPerRecord = 262144;
    /// Transfer rate of appends; 0 is unlimited. An append that wouldn't arrive by its deadline
    /// isn't carried out, and its outcome is unknown to the caller.
    std::int64_t bytesPerMs = 0;
    /// Delay of the answer to a read.
    std::int64_t readAnswerMs = 0;
    int appends = 0;
    /// Calls of `appendAt()`, failed ones included.
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
    AppendFault takeFault(bool hasRecords);
    boost::asio::awaitable<void> stayUnanswered(Core::Instant deadline);
    void refuseIfDown(const std::string &step) const;
    void refuseIfUnreadable(Site::Topic topic, const std::string &step) const;

    boost::asio::any_io_executor m_executor;
    std::map<Site::Topic, Stored> m_topics;
    std::int64_t m_epoch = 0;
    std::int64_t m_lastSequence = -1;
    /// The offsets of the last fenced appends of the epoch by their sequence numbers.
    std::map<std::int64_t, std::int64_t> m_lastOffsets;
};
