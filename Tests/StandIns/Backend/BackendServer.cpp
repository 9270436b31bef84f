#include "BackendServer.h"

#include <LibCore/Error.h>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>

namespace StandIn {

namespace asio = boost::asio;

BackendServer::BackendServer(const asio::any_io_executor &executor, std::uint16_t port,
                             const BackendLimits &limits, Executions &executions)
    : m_executor(executor)
    , m_limits(limits)
    , m_executions(executions)
    , m_server(executor, port, *this)
{
}

static std::chrono::milliseconds serviceTime(const Request &request,
                                             std::chrono::milliseconds fallback)
{
    const std::string text = request.header("x-service-ms");
    if (text.empty())
        return fallback;
    int milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc() || end != text.data() + text.size())
        throw Core::FormatError("read header", "X-Service-Ms", "no number: " + text);
    return std::chrono::milliseconds(milliseconds);
}

asio::awaitable<Reply> BackendServer::handle(Request request)
{
    asio::steady_timer timer(m_executor, serviceTime(request, m_limits.serviceTime));
    m_executions.count(request.header("lagoonford-request-id"), request.header("idempotency-key"));
    ++m_inWork;
    m_maximumInWork = std::max(m_maximumInWork, m_inWork);
    if (m_inWork > m_limits.slots)
        ++m_slotViolations;
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    --m_inWork;
    ++m_served;
    Json::Value value;
    value["server"] = port();
    value["path"] = request.path;
    value["requestId"] = request.header("lagoonford-request-id");
    co_return Reply::json(value);
}

Faults BackendServer::faultsFor(const Request & /*request*/)
{
    return m_faults;
}

void BackendServer::connectionsChanged(std::size_t open)
{
    const int count = static_cast<int>(open);
    if (count > m_openConnections && count > m_limits.connections)
        ++m_connectionViolations;
    m_openConnections = count;
    m_maximumConnections = std::max(m_maximumConnections, count);
}

void BackendServer::setFaults(const Faults &faults)
{
    m_faults = faults;
    m_server.setDown(faults.isDown);
}

Json::Value BackendServer::report() const
{
    Json::Value value;
    value["port"] = port();
    value["served"] = Json::Int64(m_served);
    value["inWork"] = m_inWork;
    value["maximumInWork"] = m_maximumInWork;
    value["slotViolations"] = m_slotViolations;
    value["connections"] = m_openConnections;
    value["maximumConnections"] = m_maximumConnections;
    value["connectionViolations"] = m_connectionViolations;
    return value;
}

} // namespace StandIn
