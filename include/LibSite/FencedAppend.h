#pragma once

#include <LibSite/KeyedLog.h>
#include <LibSupervision/Wakeup.h>

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <exception>
#include <functional>
#include <memory>
#include <vector>

namespace Site {

/// Sends one fenced append, and sends it again beside the first call if that isn't answered soon.
/// The store recognizes the repetition by its sequence number, so that the records are appended
/// once.
class FencedAppend final : public std::enable_shared_from_this<FencedAppend>
{
public:
    /// Runs a coroutine by itself.
    using Spawn = std::function<void(boost::asio::awaitable<void>)>;

    FencedAppend(KeyedLog &log, const boost::asio::any_io_executor &executor,
                 std::vector<Jobs::StoredRecord> records, FencedWriter writer);

    struct Receipt
    {
        /// When the first call was sent, on the suspend-aware clock.
        Core::Instant sentAt;
        /// The offset of the first record.
        std::int64_t offset = 0;
    };

    /// The append is sent again if it isn't answered within \p repetitionDelay. A call that isn't
    /// answered when this returns goes on without effect on this object's owner.
    /// \throws Core::Error as KeyedLog::appendFenced() if no call succeeds before \p deadline.
    boost::asio::awaitable<Receipt> send(Spawn spawn, Core::Duration repetitionDelay,
                                         Core::Instant deadline);

private:
    /// \p self lives on until the call has ended.
    static boost::asio::awaitable<void> call(std::shared_ptr<FencedAppend> self,
                                             Core::Instant deadline);
    /// Waits until the append is decided, or until \p instant.
    boost::asio::awaitable<void> waitUntil(Core::Instant instant);
    bool isDecided() const;

    KeyedLog &m_log;
    std::vector<Jobs::StoredRecord> m_records;
    FencedWriter m_writer;
    Supervision::Wakeup m_wakeup;
    int m_openCalls = 0;
    bool m_isAnswered = false;
    /// The offset that the answer states.
    std::int64_t m_offset = 0;
    std::exception_ptr m_failure;
    /// The store rejected the append itself, so that no other call can succeed.
    bool m_isRejected = false;
};

} // namespace Site
