#include <LibSite/RecordWriter.h>

#include <LibCore/SteadyClock.h>
#include <LibLog/Logging.h>
#include <LibSite/AppendBatches.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Site {

namespace asio = boost::asio;

/// How long one append may take before it is retried.
static constexpr Core::Duration appendTimeout = std::chrono::milliseconds(900);
static constexpr Core::Duration retryDelay = std::chrono::milliseconds(100);
static const auto partLogger = Log::essentialLogger("writer");

RecordWriter::RecordWriter(SiteState &state, KeyedLog &log, const asio::any_io_executor &executor)
    : m_state(state)
    , m_log(log)
    , m_executor(executor)
{
}

bool RecordWriter::isAnyTooLarge(const std::vector<Jobs::StoredRecord> &records)
{
    const auto tooLarge = std::find_if(records.begin(), records.end(), isTooLarge);
    if (tooLarge == records.end())
        return false;
    LOG4CXX_WARN(partLogger,
                 "event=record-too-large key=" << tooLarge->key
                                               << " bytes=" << sizeInBytes(*tooLarge));
    return true;
}

asio::awaitable<WriteOutcome> RecordWriter::write(std::vector<Jobs::StoredRecord> records,
                                                  Core::Instant deadline)
{
    if (isAnyTooLarge(records))
        co_return WriteOutcome::NotWritten;
    const auto pending = std::make_shared<PendingWrite>(
        PendingWrite { std::move(records), deadline, Supervision::Wakeup(m_executor) });
    m_pending.push_back(pending);
    if (!m_isWriting) {
        m_isWriting = true;
        asio::co_spawn(m_executor, writePending(), asio::detached);
    }
    while (!pending->isDecided)
        co_await pending->wakeup.sleepUntil(Core::Instant::max());
    co_return pending->outcome;
}

void RecordWriter::decide(PendingWrite &pending, WriteOutcome outcome)
{
    pending.outcome = outcome;
    pending.isDecided = true;
    pending.wakeup.wake();
}

RecordWriter::Batch RecordWriter::takeBatch()
{
    Batch batch;
    std::size_t bytes = 0;
    std::size_t count = 0;
    while (!m_pending.empty()) {
        for (const Jobs::StoredRecord &record : m_pending.front()->records)
            bytes += sizeInBytes(record);
        count += m_pending.front()->records.size();
        const bool isFull = bytes > maxBytesPerAppend || count > maxRecordsPerAppend;
        if (isFull && !batch.empty())
            break;
        batch.splice(batch.end(), m_pending, m_pending.begin());
    }
    return batch;
}

asio::awaitable<void> RecordWriter::writeBatch(Batch &batch)
{
    std::vector<Jobs::StoredRecord> records;
    Core::Instant latestDeadline = {};
    for (const auto &pending : batch) {
        records.insert(records.end(), pending->records.begin(), pending->records.end());
        latestDeadline = std::max(latestDeadline, pending->deadline);
    }
    const Core::Instant began = Core::steadyNow();
    const Core::Instant deadline = std::min(latestDeadline, began + appendTimeout);
    try {
        co_await m_log.append(std::move(records), deadline);
        for (const auto &pending : batch)
            decide(*pending, WriteOutcome::Written);
        batch.clear();
        if (m_state.health.noteSuccess(Core::steadyNow()))
            LOG4CXX_INFO(partLogger, "event=regained dependency=store");
        co_return;
    } catch (const Core::OutcomeUnknownError &error) {
        LOG4CXX_WARN(partLogger,
                     "event=append-unknown records=" << batch.size() << " reason=\"" << error.what()
                                                     << '"');
        for (const auto &pending : batch)
            pending->isInDoubt = true;
    } catch (const Core::Error &error) {
        LOG4CXX_WARN(partLogger,
                     "event=append-refused records=" << batch.size() << " reason=\"" << error.what()
                                                     << '"');
    }
    if (m_state.health.noteFailure(Core::steadyNow()))
        LOG4CXX_WARN(partLogger, "event=lost dependency=store");
}

asio::awaitable<void> RecordWriter::writePending()
{
    Supervision::Wakeup pause(m_executor);
    while (!m_pending.empty()) {
        Batch batch = takeBatch();
        co_await writeBatch(batch);
        if (batch.empty())
            continue;
        // A retry has no effect on a record that was written, even if it arrives late, so records
        // with time left are retried.
        const Core::Instant now = Core::steadyNow();
        for (const auto &pending : batch) {
            if (now + retryDelay < pending->deadline)
                m_pending.push_back(pending);
            else
                decide(*pending,
                       pending->isInDoubt ? WriteOutcome::Unknown : WriteOutcome::NotWritten);
        }
        co_await pause.sleepUntil(now + retryDelay);
    }
    m_isWriting = false;
}

} // namespace Site
