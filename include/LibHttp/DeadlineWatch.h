#pragma once

#include <LibCore/Time.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace Http {

class Deadline;

/// Watches the deadlines of many operations with one timer.
///
/// A timer for each operation would cost several handlers and system calls, though hardly any of
/// them expires. This one is only set again when it expires, or when an earlier deadline is set.
class DeadlineWatch final : public std::enable_shared_from_this<DeadlineWatch>
{
public:
    /// Expired deadlines are reported on \p executor.
    explicit DeadlineWatch(const boost::asio::any_io_executor &executor);
    DeadlineWatch(const DeadlineWatch &) = delete;
    DeadlineWatch &operator=(const DeadlineWatch &) = delete;

private:
    friend class Deadline;
    using Deadlines = std::multimap<Core::Instant, Deadline *>;

    void setTimerFor(Core::Instant instant);
    void reportExpired();

    /// Those that are set.
    Deadlines m_deadlines;
    boost::asio::steady_timer m_timer;
    /// When the timer expires; the last instant there is while it isn't set.
    Core::Instant m_timerExpiresAt = Core::Instant::max();
};

} // namespace Http
