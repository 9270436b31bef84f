#include <utility>

#include <LibSupervision/Wakeup.h>

#include <LibCore/SteadyClock.h>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Supervision {

namespace asio = boost::asio;

/// The longest time that one call sleeps.
static constexpr Core::Duration maxSleep = std::chrono::hours(1);

Wakeup::Wakeup(const asio::any_io_executor &executor)
    : m_timer(executor)
{
}

asio::awaitable<void> Wakeup::sleepUntil(Core::Instant instant)
{
    if (m_isWoken) {
        // Yields to other handlers of the executor, so that a coroutine that is woken all the time
        // doesn't starve them.
        co_await asio::post(m_timer.get_executor(), asio::use_awaitable);
    } else {
        // The timer counts nanoseconds, so instants near the maximum would overflow.
        const Core::Instant latest = Core::steadyNow() + maxSleep;
        m_timer.expires_at(Core::toSteadyTimePoint(std::min(instant, latest)));
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

} // namespace Supervision
