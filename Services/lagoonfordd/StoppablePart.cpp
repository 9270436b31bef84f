#include <utility>

#include "StoppablePart.h"

#include <LibCore/SteadyClock.h>

namespace Daemon {

namespace asio = boost::asio;

StoppablePart::StoppablePart(std::string name, Node &node, Supervision::Wakeup &wakeup)
    : m_name(std::move(name))
    , m_node(node)
    , m_wakeup(wakeup)
{
}

asio::awaitable<void> StoppablePart::run()
{
    co_await begin();
    while (!m_isStopping) {
        const Core::Instant next = co_await step(Core::steadyNow());
        if (!m_isStopping)
            co_await m_wakeup.sleepUntil(next);
    }
    co_await finish();
}

void StoppablePart::requestStop()
{
    m_isStopping = true;
    m_wakeup.wake();
}

asio::awaitable<void> StoppablePart::begin()
{
    co_return;
}

asio::awaitable<void> StoppablePart::finish()
{
    co_return;
}

} // namespace Daemon
