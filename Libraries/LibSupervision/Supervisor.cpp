#include <utility>

#include <LibSupervision/Supervisor.h>

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>

namespace Supervision {

namespace asio = boost::asio;

struct Supervisor::Child
{
    Child(Part &childPart, const RestartLimits &limits)
        : part(childPart)
        , policy(limits)
    {
    }

    Part &part;
    RestartPolicy policy;
    bool isRunning = false;
    bool isStopping = false;
};

Supervisor::Supervisor(std::string name, asio::any_io_executor executor,
                       const RestartLimits &limits, Report report)
    : m_name(std::move(name))
    , m_executor(std::move(executor))
    , m_limits(limits)
    , m_report(std::move(report))
    , m_changed(m_executor, asio::steady_timer::time_point::max())
{
}

Supervisor::~Supervisor() = default;

void Supervisor::add(Part &part)
{
    m_children.push_back(std::make_unique<Child>(part, m_limits));
}

asio::awaitable<void> Supervisor::run()
{
    m_isStopping = false;
    m_failedPart.clear();
    for (const auto &child : m_children) {
        child->isRunning = true;
        child->isStopping = false;
        asio::co_spawn(m_executor, runChild(*child), asio::detached);
    }
    while (!m_isStopping && m_failedPart.empty()) {
        boost::system::error_code ignored;
        co_await m_changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_await stopChildren();
    if (!m_failedPart.empty())
        throw Core::Error("supervise", m_failedPart, "the part failed too often");
}

void Supervisor::requestStop()
{
    m_isStopping = true;
    m_changed.cancel();
}

asio::awaitable<void> Supervisor::runChild(Child &child)
{
    while (!child.isStopping) {
        m_report(child.part.name(), "starts");
        const bool isDone = co_await runOnce(child);
        if (isDone || child.isStopping)
            break;
        const auto restartAt = child.policy.onFailure(Core::steadyNow());
        if (!restartAt) {
            m_failedPart = child.part.name();
            break;
        }
        co_await waitUntil(*restartAt);
    }
    m_report(child.part.name(), "ended");
    child.isRunning = false;
    m_changed.cancel();
}

asio::awaitable<bool> Supervisor::runOnce(Child &child)
{
    try {
        co_await child.part.run();
        co_return true;
    } catch (const std::exception &exception) {
        m_report(child.part.name(), std::string("failed: ") + exception.what());
    }
    co_return false;
}

asio::awaitable<void> Supervisor::waitUntil(Core::Instant instant)
{
    asio::steady_timer timer(m_executor);
    timer.expires_after(instant - Core::steadyNow());
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> Supervisor::stopChildren()
{
    for (auto child = m_children.rbegin(); child != m_children.rend(); ++child) {
        (*child)->isStopping = true;
        (*child)->part.requestStop();
        while ((*child)->isRunning) {
            boost::system::error_code ignored;
            co_await m_changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
}

} // namespace Supervision
