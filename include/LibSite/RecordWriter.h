#pragma once

#include <LibCore/Time.h>
#include <LibSite/KeyedLog.h>
#include <LibSite/SiteState.h>
#include <LibSupervision/Wakeup.h>

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <list>

namespace Site {

enum class WriteOutcome {
    Written,
    /// Certainly not written, and won't be written later.
    NotWritten,
    /// May have been written, or may still be.
    Unknown,
};

/// Writes callers' submissions and cancellations. Records that arrive while an append is in flight
/// share the next one.
class RecordWriter
{
public:
    RecordWriter(SiteState &state, KeyedLog &log, const boost::asio::any_io_executor &executor);

    /// Writes all the records or none. Retries until \p deadline (steady clock). A retry may write
    /// the records a second time, which must have no further effect.
    boost::asio::awaitable<WriteOutcome> write(std::vector<Jobs::StoredRecord> records,
                                               Core::Instant deadline);

private:
    struct PendingWrite
    {
        std::vector<Jobs::StoredRecord> records;
        Core::Instant deadline;
        Supervision::Wakeup wakeup;
        WriteOutcome outcome = WriteOutcome::NotWritten;
        bool isDecided = false;
        /// An append that contained the records wasn't answered.
        bool isInDoubt = false;
    };
    using Batch = std::list<std::shared_ptr<PendingWrite>>;

    boost::asio::awaitable<void> writePending();
    boost::asio::awaitable<void> writeBatch(Batch &batch);
    static bool isAnyTooLarge(const std::vector<Jobs::StoredRecord> &records);
    Batch takeBatch();
    void decide(PendingWrite &pending, WriteOutcome outcome);

    SiteState &m_state;
    KeyedLog &m_log;
    boost::asio::any_io_executor m_executor;
    Batch m_pending;
    bool m_isWriting = false;
};

} // namespace Site
