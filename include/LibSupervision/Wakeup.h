#pragma once

#include <LibCore/Time.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace Supervision {

/// Lets one coroutine sleep until an instant or until wake() is called. A call of wake() while no
/// coroutine sleeps ends the next sleep at once.
class Wakeup
{
public:
    explicit Wakeup(const boost::asio::any_io_executor &executor);

    boost::asio::awaitable<void> sleepUntil(Core::Instant instant);
    void wake();

private:
    boost::asio::steady_timer m_timer;
    bool m_isWoken = false;
};

} // namespace Supervision
