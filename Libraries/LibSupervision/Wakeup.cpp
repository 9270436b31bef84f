#include <utility>

#include <LibSupervision/Wakeup.h>

#include <LibCore/SteadyClock.h>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace Supervision {

namespace asio = boost::asio;

/// Whoever sleeps looks again after this time at the latest.
static constexpr Core::Duration longestSleep = std::chrono::hours(1);

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
        // The timer counts in nanoseconds, so the latest instants that we can name overflow there.
        const Core::Instant latest = Core::steadyNow() + longestSleep;
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
