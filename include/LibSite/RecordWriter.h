#pragma once

#include <LibCore/Time.h>
#include <LibSite/KeyedLog.h>
#include <LibSite/RecordForwarder.h>
#include <LibSite/SiteState.h>
#include <LibSite/WriteAdmission.h>
#include <LibSite/WriteRoute.h>
#include <LibSupervision/Wakeup.h>

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Site {

enum class WriteOutcome {
    Written,
    /// Certainly not written, and won't be written later.
    NotWritten,
    /// May have been written, or may still be.
    Unknown,
};

/// Writes callers' submissions and cancellations. Records that arrive while an append is in flight
/// share the next one. While the store is slow or out of reach, they are given to the owner of the
/// jobs, which writes those of all nodes together.
class RecordWriter
{
public:
    /// \p forwarder is null if this node forwards nothing.
    RecordWriter(SiteState &state, KeyedLog &log, const boost::asio::any_io_executor &executor,
                 RecordForwarder *forwarder = nullptr);

    /// Writes all the records or none. Retries until \p deadline (steady clock). A retry may write
    /// the records a second time, which must have no further effect. Records that can't be expected
    /// to be durable by the deadline are refused at once; but if the measurement on which this
    /// rests is out of date, one write is tried.
    boost::asio::awaitable<WriteOutcome> write(std::vector<Jobs::StoredRecord> records,
                                               Core::Instant deadline);
    /// False if the store is out of reach and the owner can't write for this node.
    bool canWrite() const;
    /// How many seconds a caller whose record was refused should wait, at least 1.
    std::int64_t retryAfterSeconds() const;

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
    boost::asio::awaitable<void> writeBatch(Batch &batch, WriteRoute::Path path);
    /// Appends the batch. Decides its records and empties it if their outcome is known.
    boost::asio::awaitable<void> appendBatch(Batch &batch, Core::Instant deadline);
    /// Like `appendBatch()`, but gives the records to the owner.
    boost::asio::awaitable<void> forwardBatch(Batch &batch, Core::Instant deadline);
    void applyForwardResult(Batch &batch, const std::string &owner, const ForwardResult &result);
    void noteAppendFailure(Core::Instant beganAt, Core::Instant deadline);
    /// The owner to which records can be given; this node's name if it is the owner itself, and
    /// empty if there is none.
    std::string findOwner() const;
    WriteRoute::Choice chooseRoute(Core::Instant now) const;
    AppendQueue queueAhead(Core::Instant now) const;
    bool isAdmitted(Core::Instant deadline);
    /// True if nothing under way will measure the latency again and the last measurement is old, so
    /// that a write has to be admitted to tell whether others can be.
    bool isTrialDue(Core::Instant deadline, Core::Instant now) const;
    /// Logs and counts that a record can't be durable by \p deadline with \p queue ahead of it.
    void logRefusal(const AppendQueue &queue, Core::Instant deadline, Core::Instant now);
    /// Decides what can't be written by its deadline if nothing is sent before \p notBefore.
    void refuseLate(Core::Instant notBefore);
    /// Decides what has no time left for another attempt and puts the rest back.
    void retryOrDecide(const Batch &batch, Core::Instant now);
    void logRoute();
    static std::vector<Jobs::StoredRecord> recordsOf(const Batch &batch);
    static void markInDoubt(const Batch &batch);
    static bool isAnyTooLarge(const std::vector<Jobs::StoredRecord> &records);
    Batch takeBatch();
    void decide(PendingWrite &pending, WriteOutcome outcome);
    void decideAll(Batch &batch, WriteOutcome outcome);
    /// Decides that nothing more is attempted.
    void giveUp(PendingWrite &pending);

    SiteState &m_state;
    KeyedLog &m_log;
    boost::asio::any_io_executor m_executor;
    Batch m_pending;
    bool m_isWriting = false;
    RecordForwarder *m_forwarder;
    WriteRoute m_route;
    bool m_wasDirect = true;
    /// How many writes have been admitted since the process started.
    std::int64_t m_admittedWrites = 0;
    /// When the attempt in flight began; nothing if there is none.
    std::optional<Core::Instant> m_beganAt;
    /// When the owner, which has refused records, will have written what it has.
    Core::Instant m_ownerDrainedAt = {};
};

} // namespace Site
