#pragma once

#include <LibSite/AppendPace.h>
#include <LibSite/RecordForwarder.h>
#include <LibSite/WriteAdmission.h>
#include <LibSupervision/Wakeup.h>

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace Site {

/// Records of callers, at any node, that the owner writes together with its commits.
class GroupCommit
{
public:
    /// \p onWaiting is called when a record waits for an append.
    GroupCommit(const boost::asio::any_io_executor &executor, const AppendPace &pace,
                std::function<void()> onWaiting);
    ~GroupCommit();
    GroupCommit(const GroupCommit &) = delete;
    GroupCommit &operator=(const GroupCommit &) = delete;

    /// Writes all the records or none. Returns by \p deadline (steady clock). Refuses at once what
    /// can't be expected to be durable by then.
    boost::asio::awaitable<ForwardResult> write(std::vector<Jobs::StoredRecord> records,
                                                Core::Instant deadline);

    bool isWaiting() const { return !m_waiting.empty(); }
    /// Takes what fits in one append, in groups that must be written together. Call `finish()` once
    /// the outcome is known.
    std::vector<std::vector<Jobs::StoredRecord>> take();
    /// If the groups aren't known to be written, their outcome is unknown.
    void finish(bool areWritten);
    /// The node no longer writes for others. Records that haven't been taken won't be written.
    void close();

private:
    struct Entry
    {
        std::vector<Jobs::StoredRecord> records;
        Supervision::Wakeup wakeup;
        ForwardResult result = {};
        bool isTaken = false;
        bool isDecided = false;
    };
    using Entries = std::list<std::shared_ptr<Entry>>;

    AppendQueue queueAhead(Core::Instant now) const;
    void decideAll(Entries &entries, ForwardOutcome outcome);

    boost::asio::any_io_executor m_executor;
    const AppendPace &m_pace;
    std::function<void()> m_onWaiting;
    Entries m_waiting;
    Entries m_taken;
    bool m_isClosed = false;
};

} // namespace Site
