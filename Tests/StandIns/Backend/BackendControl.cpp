#include "BackendControl.h"

#include <LibCore/Json.h>

namespace StandIn {

BackendControl::BackendControl(std::vector<std::unique_ptr<BackendServer>> &servers,
                               Executions &executions)
    : m_servers(servers)
    , m_executions(executions)
{
}

boost::asio::awaitable<Reply> BackendControl::handle(Request request)
{
    if (request.path == "/control/report")
        co_return report();
    if (request.path == "/control/executions")
        co_return executions();
    if (request.path == "/control/fault" && request.method == "POST")
        co_return setFault(request.json());
    co_return Reply::error(404, "no such page");
}

Reply BackendControl::report() const
{
    Json::Value value;
    value["servers"] = Json::Value(Json::arrayValue);
    for (const auto &server : m_servers)
        value["servers"].append(server->report());
    value["executions"] = m_executions.report();
    return Reply::json(value);
}

Reply BackendControl::executions() const
{
    Json::Value value(Json::objectValue);
    for (const auto &[id, count] : m_executions.byRequest())
        value[id] = count;
    return Reply::json(value);
}

Reply BackendControl::setFault(const Json::Value &value)
{
    const std::string target = Core::Json::stringMember(value, "target");
    const Faults faults = Faults::fromJson(value);
    int changed = 0;
    for (const auto &server : m_servers) {
        if (target != "*" && target != std::to_string(server->port()))
            continue;
        server->setFaults(faults);
        if (value.get("silenceOpen", false).asBool())
            server->silenceOpenConnections();
        ++changed;
    }
    return changed > 0 ? Reply::json(value) : Reply::error(404, "no such backend server");
}

} // namespace StandIn
