#pragma once

#include <LibSite/LogFollower.h>
#include <LibSite/SentRecords.h>
#include <LibSite/SiteState.h>
#include <LibSupervision/Part.h>
#include <LibSupervision/Wakeup.h>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <set>
#include <utility>

namespace Site {

/// Keeps a node's table of jobs, and its view of who owns them, in step with the store. The table
/// holds exactly what the records up to `nextOffset()` say, on the owner too.
class JobFollower final : public Supervision::Part, private RecordSink
{
public:
    JobFollower(SiteState &state, KeyedLog &log, const boost::asio::any_io_executor &executor);

    std::string name() const override { return "jobs"; }
    boost::asio::awaitable<void> run() override;
    void requestStop() override;

    /// Reads to the end of the log as of now. Callers share reads. False if that failed.
    boost::asio::awaitable<bool> refresh(Core::Instant deadline);
    std::int64_t nextOffset() const { return m_follower.nextOffset(); }
    /// Reads again soon.
    void wake() { m_wakeup.wake(); }
    /// The owner is about to append \p record as \p stored; it counts once it is read.
    void noteSent(const Jobs::StoredRecord &stored, Jobs::ProgressRecord record)
    {
        m_sent.note(stored, std::move(record));
    }
    void forgetSent() { m_sent.clear(); }

private:
    void beginSnapshot() override;
    void endSnapshot() override;
    void apply(const LoggedRecord &record) override;
    Jobs::JobRecord decode(const Jobs::StoredRecord &stored);
    void applyJobRecord(const LoggedRecord &logged, const Jobs::JobRecord &record);
    enum class ReadResult {
        Failed,
        /// There is more to read.
        Behind,
        AtEnd,
    };

    boost::asio::awaitable<ReadResult> readOnce(std::int64_t waitMs);
    boost::asio::awaitable<bool> readToEnd();
    void noteComplete(Core::Instant sentAt);
    void requestRead();
    bool isCompleteAsOf(Core::Instant instant) const;
    void wakeWaiting();
    boost::asio::awaitable<void> readBesidePoll();
    void noteAnswer();
    void noteFailedRead(const std::string &reason);

    SiteState &m_state;
    LogFollower m_follower;
    SentRecords m_sent;
    boost::asio::any_io_executor m_executor;
    Supervision::Wakeup m_wakeup;
    /// Nobody wakes it.
    Supervision::Wakeup m_spacing;
    std::set<Supervision::Wakeup *> m_waiting;
    bool m_isStopping = false;
    bool m_isInSnapshot = false;
    /// The owner's read is under way, which the store answers once there is something new.
    bool m_isPolling = false;
    bool m_isReadingBesidePoll = false;
    /// When the last read that has ended began.
    Core::Instant m_lastReadBeganAt = {};
    /// Failed reads since the log last said so.
    int m_unreportedFailures = 0;
    Core::Instant m_nextFailureReportAt = {};
};

} // namespace Site
