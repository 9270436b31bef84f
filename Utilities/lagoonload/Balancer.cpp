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
                   const std::vector<asio::ip::tcp::endpoint> &doors)
    : m_executor(executor)
{
    for (const auto &endpoint : doors)
        m_doors.push_back({ std::make_unique<DoorClient>(executor, endpoint),
                            std::make_unique<DoorClient>(executor, endpoint) });
}

asio::awaitable<void> Balancer::watchHealth(Core::Instant end)
{
    for (Door &door : m_doors)
        asio::co_spawn(m_executor, watch(door, end), asio::detached);
    co_return;
}

asio::awaitable<void> Balancer::watch(Door &door, Core::Instant end)
{
    asio::steady_timer timer(m_executor);
    while (Core::steadyNow() < end) {
        door.isHealthy = co_await isHealthy(door);
        timer.expires_after(healthInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<bool> Balancer::isHealthy(Door &door)
{
    try {
        DoorRequest request { "GET", "/healthz", {}, {} };
        const Core::Instant deadline = Core::steadyNow() + healthTimeLimit;
        const DoorAnswer answer = co_await door.healthClient->call(std::move(request), deadline);
        co_return answer.status == 200;
    } catch (const Core::Error &) {
        co_return false;
    }
}

DoorClient *Balancer::next()
{
    for (std::size_t tried = 0; tried < m_doors.size(); ++tried) {
        Door &door = m_doors[m_next];
        m_next = (m_next + 1) % m_doors.size();
        if (door.isHealthy)
            return door.client.get();
    }
    return nullptr;
}

} // namespace Load
