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

/// Simulates a backend server: processes each request for its service time, one request per slot,
/// and counts the requests and connections beyond its limits, which are processed as well.
class BackendServer final : public RequestHandler
{
public:
    /// All backend servers of a process share \p executions.
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
