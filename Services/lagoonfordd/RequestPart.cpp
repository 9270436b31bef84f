#include <utility>

#include "RequestPart.h"

#include <LibLog/Logging.h>

#include <LibCore/SteadyClock.h>

#include <algorithm>

namespace Daemon {

namespace asio = boost::asio;

static constexpr Core::Duration refreshInterval = std::chrono::milliseconds(100);
static const auto partLogger = Log::logger("router");

RequestPart::RequestPart(Node &node, RequestService &service)
    : StoppablePart("router", node, service.wakeup())
    , m_service(service)
{
}

asio::awaitable<Core::Instant> RequestPart::step(Core::Instant now)
{
    if (now >= m_nextRefresh) {
        m_nextRefresh = now + refreshInterval;
        m_service.refresh(now);
    }
    co_return std::min(m_service.onTimer(now), m_nextRefresh);
}

asio::awaitable<void> RequestPart::finish()
{
    m_service.beginLeaving();
    const Core::Instant deadline = Core::steadyNow() + node().settings().drainTime;
    while (!m_service.isIdle() && Core::steadyNow() < deadline) {
        const Core::Instant next = co_await step(Core::steadyNow());
        co_await m_service.wakeup().sleepUntil(next);
    }
    LOG4CXX_INFO(partLogger,
                 (m_service.isIdle() ? "all requests finished"
                                     : "drain time over with requests in progress"));
}

} // namespace Daemon
