#include <utility>

#include "MemoryLog.h"

#include <LibCore/SteadyClock.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

using namespace Site;
namespace asio = boost::asio;

static constexpr std::int64_t callMs = 1;
static constexpr std::size_t keysPerPage = 2;
/// A repetition of one of this many last fenced appends gets its first answer again.
static constexpr std::size_t rememberedAppends = 5;

MemoryLog::MemoryLog(asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
}

asio::awaitable<void> MemoryLog::delay(std::int64_t milliseconds)
{
    asio::steady_timer timer(m_executor);
    timer.expires_after(std::chrono::milliseconds(milliseconds));
    co_await timer.async_wait(asio::use_awaitable);
}

void MemoryLog::refuseIfDown(const std::string &step) const
{
    if (isDown)
        throw Core::NotDoneError(step, "memory", "the store is down");
}

void MemoryLog::refuseIfUnreadable(Topic topic, const std::string &step) const
{
    refuseIfDown(step);
    if (refusesReads || unreadableTopic == topic)
        throw Core::NotDoneError(step, "memory", "reads are refused");
}

void MemoryLog::put(Topic topic, const Jobs::StoredRecord &record)
{
    Stored &stored = m_topics[topic];
    stored.records.push_back({ stored.end++, record });
    stored.history.push_back(stored.records.back());
}

const std::vector<LoggedRecord> &MemoryLog::history(Topic topic)
{
    return m_topics[topic].history;
}

void MemoryLog::compact(Topic topic)
{
    Stored &stored = m_topics[topic];
    std::map<std::string, LoggedRecord> newest;
    for (const LoggedRecord &record : stored.records)
        newest[record.record.key] = record;
    stored.records.clear();
    for (const auto &[key, record] : newest) {
        if (!record.record.value.empty())
            stored.records.push_back(record);
    }
    stored.firstRetained = stored.end;
}

asio::awaitable<void> MemoryLog::sendRecords(std::vector<Jobs::StoredRecord> records,
                                             Core::Instant deadline)
{
    std::size_t bytes = 0;
    std::size_t largest = 0;
    for (const Jobs::StoredRecord &record : records) {
        const std::size_t size = record.key.size() + record.value.size();
        bytes += size;
        largest = std::max(largest, size);
    }
    const Core::Instant now = Core::steadyNow();
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count();
    std::int64_t neededMs = callMs;
    if (bytesPerMs > 0)
        neededMs += static_cast<std::int64_t>(bytes) / bytesPerMs;
    if (left < neededMs) {
        co_await delay(std::max<std::int64_t>(left, 0));
        throw Core::OutcomeUnknownError("append", "memory", "the deadline has passed");
    }
    co_await delay(neededMs);
    refuseIfDown("append");
    if (bytes > maxBytesPerCall || largest > maxBytesPerRecord)
        throw Core::NotDoneError("append", "memory", "too many bytes");
}

asio::awaitable<std::int64_t> MemoryLog::store(std::vector<Jobs::StoredRecord> records)
{
    ++appends;
    const std::int64_t offset = m_topics[Topic::Jobs].end;
    for (const Jobs::StoredRecord &record : records)
        put(Topic::Jobs, record);
    co_await deliverAnswer();
    co_return offset;
}

asio::awaitable<void> MemoryLog::deliverAnswer()
{
    if (losesAnswers)
        throw Core::OutcomeUnknownError("append", "memory", "the answer is lost");
    if (answerMs > 0)
        co_await delay(answerMs);
}

asio::awaitable<std::int64_t> MemoryLog::append(std::vector<Jobs::StoredRecord> records,
                                                Core::Instant deadline)
{
    co_await sendRecords(records, deadline);
    co_return co_await store(std::move(records));
}

asio::awaitable<std::int64_t> MemoryLog::appendAt(std::vector<Jobs::StoredRecord> records,
                                                  std::int64_t expectedEnd, Core::Instant deadline)
{
    ++conditionalAppends;
    co_await sendRecords(records, deadline);
    const std::int64_t end = m_topics[Topic::Jobs].end;
    if (end != expectedEnd)
        throw ConflictError("append", "memory", "the log has grown", end);
    co_return co_await store(std::move(records));
}

AppendFault MemoryLog::takeFault(bool hasRecords)
{
    if (!hasRecords || appendFaults.empty())
        return AppendFault::None;
    const AppendFault fault = appendFaults.front();
    appendFaults.pop_front();
    return fault;
}

asio::awaitable<void> MemoryLog::stayUnanswered(Core::Instant deadline)
{
    asio::steady_timer timer(m_executor);
    timer.expires_at(Core::toSteadyTimePoint(deadline));
    co_await timer.async_wait(asio::use_awaitable);
    throw Core::OutcomeUnknownError("append", "memory", "the deadline has passed");
}

asio::awaitable<std::int64_t> MemoryLog::appendFenced(std::vector<Jobs::StoredRecord> records,
                                                      FencedWriter writer, Core::Instant deadline)
{
    const AppendFault fault = takeFault(!records.empty());
    if (fault == AppendFault::Lost)
        co_await stayUnanswered(deadline);
    if (fault == AppendFault::Delayed)
        co_await delay(delayedArrivalMs);
    co_await sendRecords(records, deadline);
    if (writer.epoch < m_epoch)
        throw FencedError("append", "memory", "a higher epoch was seen");
    if (writer.epoch > m_epoch)
        m_lastOffsets.clear();
    const auto repeated = m_lastOffsets.find(writer.sequence);
    if (repeated != m_lastOffsets.end()) {
        const std::int64_t offset = repeated->second;
        co_await deliverAnswer();
        co_return offset;
    }
    if (writer.epoch == m_epoch && writer.sequence != m_lastSequence + 1)
        throw ConflictError("append", "memory", "the sequence number isn't the next one",
                            m_lastSequence + 1);
    m_epoch = writer.epoch;
    m_lastSequence = writer.sequence;
    m_lastOffsets[writer.sequence] = m_topics[Topic::Jobs].end;
    if (m_lastOffsets.size() > rememberedAppends)
        m_lastOffsets.erase(m_lastOffsets.begin());
    const std::int64_t offset = co_await store(std::move(records));
    if (fault == AppendFault::Unanswered)
        co_await stayUnanswered(deadline);
    co_return offset;
}

asio::awaitable<LogPage> MemoryLog::read(Topic topic, std::int64_t from, std::int64_t waitMs,
                                         Core::Instant)
{
    ++reads;
    co_await delay(callMs);
    for (std::int64_t waited = 0; waited < waitMs && m_topics[topic].end <= from; waited += 5)
        co_await delay(5);
    refuseIfUnreadable(topic, "read");
    const Stored &stored = m_topics[topic];
    if (from < stored.firstRetained)
        throw HistoryLostError("read", "memory", "the records have expired");
    LogPage page;
    page.end = stored.end;
    for (const LoggedRecord &record : stored.records) {
        if (record.offset >= from)
            page.records.push_back(record);
    }
    if (readAnswerMs > 0)
        co_await delay(readAnswerMs);
    co_return page;
}

asio::awaitable<void> MemoryLog::deliverPage(Core::Instant deadline)
{
    const Core::Instant now = Core::steadyNow();
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now).count();
    if (left < pageMs) {
        // Rounded up: the caller's time is over when it gets no answer.
        co_await delay(std::max<std::int64_t>(left + 1, 0));
        throw Core::OutcomeUnknownError("newest", "memory", "the deadline has passed");
    }
    co_await delay(pageMs);
}

asio::awaitable<NewestRecordsPage> MemoryLog::readNewest(Topic topic, std::string afterKey,
                                                         Core::Instant deadline)
{
    ++reads;
    co_await deliverPage(deadline);
    refuseIfUnreadable(topic, "newest");
    const Stored &stored = m_topics[topic];
    std::map<std::string, LoggedRecord> newest;
    for (const LoggedRecord &record : stored.records)
        newest[record.record.key] = record;
    NewestRecordsPage page;
    page.end = stored.end;
    for (auto it = newest.upper_bound(afterKey); it != newest.end(); ++it) {
        if (it->second.record.value.empty())
            continue;
        if (page.records.size() == keysPerPage) {
            page.hasMore = true;
            break;
        }
        page.records.push_back(it->second);
    }
    co_return page;
}
