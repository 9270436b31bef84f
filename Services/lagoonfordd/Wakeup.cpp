#include <utility>

#include "Wakeup.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Daemon {

namespace asio = boost::asio;

Wakeup::Wakeup(const asio::any_io_executor &executor)
    : m_timer(executor)
{
}

asio::awaitable<void> Wakeup::sleepUntil(Core::Instant instant)
{
    if (m_isWoken) {
        // Whoever sleeps gives way to the others at least once, however often it is woken.
        co_await asio::post(m_timer.get_executor(), asio::use_awaitable);
    } else {
        m_timer.expires_at(asio::steady_timer::time_point(instant.time_since_epoch()));
        boost::system::error_code ignored;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    m_isWoken = false;
}

void Wakeup::wake()
{
    m_isWoken = true;
    m_timer.cancel();
}

} // namespace Daemon
