#include <LibHttp/DeadlineWatch.h>

#include <LibCore/SteadyClock.h>
#include <LibHttp/Deadline.h>

namespace Http {

DeadlineWatch::DeadlineWatch(const boost::asio::any_io_executor &executor)
    : m_timer(executor)
{
}

void DeadlineWatch::setTimerFor(Core::Instant instant)
{
    if (instant >= m_timerExpiresAt)
        return;
    m_timerExpiresAt = instant;
    m_timer.expires_at(Core::toSteadyTimePoint(instant));
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const std::shared_ptr<DeadlineWatch> self = weak.lock();
        if (!error && self)
            self->reportExpired();
    });
}

void DeadlineWatch::reportExpired()
{
    m_timerExpiresAt = Core::Instant::max();
    const Core::Instant now = Core::steadyNow();
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        Deadline &expired = *m_deadlines.begin()->second;
        expired.clear();
        expired.m_onExpired();
    }
    if (!m_deadlines.empty())
        setTimerFor(m_deadlines.begin()->first);
}

} // namespace Http
