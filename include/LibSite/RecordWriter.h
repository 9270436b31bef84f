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
    /// Certainly not written, now or later.
    NotWritten,
    /// It may have been written, or may yet be.
    Unknown,
};

/// Writes callers' submissions and cancellations. What comes while an append is under way goes
/// into the next one.
class RecordWriter
{
public:
    RecordWriter(SiteState &state, KeyedLog &log, const boost::asio::any_io_executor &executor);

    /// Tries until \p deadline. The record must have the same effect when it is written twice.
    boost::asio::awaitable<WriteOutcome> write(Jobs::StoredRecord record, Core::Instant deadline);

private:
    struct Pending
    {
        Jobs::StoredRecord record;
        Core::Instant deadline;
        Supervision::Wakeup wakeup;
        WriteOutcome outcome = WriteOutcome::NotWritten;
        bool isDecided = false;
        /// An append that contained it wasn't answered.
        bool isInDoubt = false;
    };
    using Batch = std::list<std::shared_ptr<Pending>>;

    boost::asio::awaitable<void> writeAll();
    boost::asio::awaitable<void> writeBatch(Batch &batch);
    Batch takeBatch();
    void decide(Pending &pending, WriteOutcome outcome);

    SiteState &m_state;
    KeyedLog &m_log;
    boost::asio::any_io_executor m_executor;
    Batch m_pending;
    bool m_isWriting = false;
};

} // namespace Site
