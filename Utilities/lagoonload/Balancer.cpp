#include "Balancer.h"

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Load {

namespace asio = boost::asio;

static constexpr Core::Duration healthInterval = std::chrono::milliseconds(200);
static constexpr Core::Duration healthTimeLimit = std::chrono::milliseconds(500);

Balancer::Balancer(const asio::any_io_executor &executor,
                   const std::vector<asio::ip::tcp::endpoint> &entryVms)
    : m_executor(executor)
{
    for (const auto &endpoint : entryVms)
        m_entryVms.push_back({ std::make_unique<EntryVmClient>(executor, endpoint),
                               std::make_unique<EntryVmClient>(executor, endpoint) });
}

asio::awaitable<void> Balancer::watchHealth(Core::Instant end)
{
    for (EntryVm &entryVm : m_entryVms)
        asio::co_spawn(m_executor, watch(entryVm, end), asio::detached);
    co_return;
}

asio::awaitable<void> Balancer::watch(EntryVm &entryVm, Core::Instant end)
{
    asio::steady_timer timer(m_executor);
    while (Core::steadyNow() < end) {
        entryVm.isHealthy = co_await isHealthy(entryVm);
        timer.expires_after(healthInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<bool> Balancer::isHealthy(EntryVm &entryVm)
{
    try {
        EntryVmRequest request { "GET", "/healthz", {}, {} };
        const Core::Instant deadline = Core::steadyNow() + healthTimeLimit;
        const EntryVmResponse answer
            = co_await entryVm.healthClient->call(std::move(request), deadline);
        co_return answer.status == 200;
    } catch (const Core::Error &) {
        co_return false;
    }
}

EntryVmClient *Balancer::next()
{
    for (std::size_t tried = 0; tried < m_entryVms.size(); ++tried) {
        EntryVm &entryVm = m_entryVms[m_next];
        m_next = (m_next + 1) % m_entryVms.size();
        if (entryVm.isHealthy)
            return entryVm.client.get();
    }
    return nullptr;
}

} // namespace Load
