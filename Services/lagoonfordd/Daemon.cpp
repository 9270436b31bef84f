#include <utility>

#include "Daemon.h"

#include <LibLog/Logging.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>

namespace Daemon {

namespace asio = boost::asio;

/// Time for the load balancer to notice that this VM isn't ready any more.
static constexpr std::chrono::seconds balancerGrace(2);
static const auto partLogger = Log::logger("supervisor");

static void report(const std::string &part, const std::string &event)
{
    LOG4CXX_INFO(partLogger, part << ' ' << event);
}

Daemon::Daemon(const Settings::Settings &settings)
    : m_node(settings, m_context.get_executor())
    , m_requests(m_node)
    , m_keys(m_node)
    , m_jobs(m_node)
    , m_admin(m_node)
    , m_directory(m_node)
    , m_rules(m_node)
    , m_domain(m_node)
    , m_peers(m_node, m_keys, m_jobs)
    , m_lease(m_node)
    , m_placer(m_node)
    , m_router(m_node, m_requests)
    , m_callerServer(m_node, m_requests, m_keys, m_jobs, m_admin)
    , m_control("control", m_context.get_executor(), {}, report)
    , m_service("service", m_context.get_executor(), {}, report)
    , m_root("root", m_context.get_executor(), {}, report)
{
    m_control.add(m_directory);
    m_control.add(m_rules);
    m_control.add(m_domain);
    m_control.add(m_peers);
    m_control.add(m_lease);
    m_control.add(m_placer);
    m_service.add(m_router);
    m_service.add(m_callerServer);
    m_root.add(m_control);
    m_root.add(m_service);
}

void Daemon::run()
{
    asio::co_spawn(m_context, stopOnSignal(), asio::detached);
    asio::co_spawn(m_context, superviseAll(), [this](const std::exception_ptr &failure) {
        m_failure = failure;
        m_context.stop();
    });
    m_context.run();
    if (m_failure)
        std::rethrow_exception(m_failure);
}

asio::awaitable<void> Daemon::superviseAll()
{
    co_await m_root.run();
}

asio::awaitable<void> Daemon::stopOnSignal()
{
    asio::signal_set signals(m_context, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
    LOG4CXX_INFO(partLogger, "leaving: the balancer is told first");
    m_node.beginLeaving();
    asio::steady_timer timer(m_context);
    timer.expires_after(balancerGrace);
    co_await timer.async_wait(asio::use_awaitable);
    m_root.requestStop();
}

} // namespace Daemon
