#pragma once

#include "BackendServer.h"

#include <memory>
#include <vector>

namespace StandIn {

/// The control port of a process of backend servers.
///
/// `GET /control/report` returns the counts of each server and of executions;
/// `GET /control/executions` the count of every request id. `POST /control/fault` takes the members
/// of Faults, `target` (a port as a string, `*` for all) and `silenceOpen`.
class BackendControl final : public RequestHandler
{
public:
    BackendControl(std::vector<std::unique_ptr<BackendServer>> &servers, Executions &executions);

    boost::asio::awaitable<Reply> handle(Request request) override;

private:
    Reply report() const;
    Reply executions() const;
    Reply setFault(const Json::Value &value);

    std::vector<std::unique_ptr<BackendServer>> &m_servers;
    Executions &m_executions;
};

} // namespace StandIn
