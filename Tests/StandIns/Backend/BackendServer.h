#pragma once

#include "Common/HttpServer.h"

#include "Executions.h"

#include <boost/asio/any_io_executor.hpp>

namespace StandIn {

struct BackendLimits
{
    int slots = 8;
    int connections = 64;
    std::chrono::milliseconds serviceTime { 5 };

    bool operator==(const BackendLimits &) const = default;
};

/// One backend server: works on each request for its service time, one request a slot, and
/// counts what exceeds its limits. Further requests are worked on all the same.
class BackendServer final : public RequestHandler
{
public:
    /// \p executions is shared by all backend servers of a process.
    BackendServer(const boost::asio::any_io_executor &executor, std::uint16_t port,
                  const BackendLimits &limits, Executions &executions);

    boost::asio::awaitable<Reply> handle(Request request) override;
    Faults faultsFor(const Request &request) override;
    void connectionsChanged(std::size_t open) override;

    void setFaults(const Faults &faults);
    void silenceOpenConnections() { m_server.silenceOpenConnections(); }
    std::uint16_t port() const { return m_server.port(); }
    Json::Value report() const;

private:
    boost::asio::any_io_executor m_executor;
    BackendLimits m_limits;
    Executions &m_executions;
    Faults m_faults;
    int m_inWork = 0;
    int m_maximumInWork = 0;
    int m_slotViolations = 0;
    int m_openConnections = 0;
    int m_maximumConnections = 0;
    int m_connectionViolations = 0;
    std::int64_t m_served = 0;
    HttpServer m_server;
};

} // namespace StandIn
