#pragma once

#include <LibSite/KeyedLog.h>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>

/// A log that carries out appends one after another and refuses further ones while more than 2 s of
/// them are waiting, as the platform's store does. An append that would end after its deadline
/// isn't answered, but carried out all the same.
class QueueingLog final : public Site::KeyedLog
{
public:
    QueueingLog(boost::asio::any_io_executor executor, Site::KeyedLog &log);

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

    /// Time that the store takes for one append.
    std::int64_t appendMs = 4;
    int refused = 0;
    int unanswered = 0;

private:
    /// Waits until the append has its turn. \throws Core::NotDoneError if too many are waiting.
    boost::asio::awaitable<void> waitForTurn();
    /// Carries out \p work, which outlives the call if its deadline passes first.
    boost::asio::awaitable<std::int64_t> answerBy(boost::asio::awaitable<std::int64_t> work,
                                                  Core::Instant deadline);

    boost::asio::any_io_executor m_executor;
    Site::KeyedLog &m_log;
    Core::Instant m_freeAt = {};
};
