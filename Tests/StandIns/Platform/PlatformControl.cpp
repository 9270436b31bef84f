#include "Platform/PlatformControl.h"

#include <LibCore/Json.h>

namespace StandIn {

using Core::Json::arrayMember;
using Core::Json::booleanMember;
using Core::Json::integerMember;
using Core::Json::stringMember;

PlatformControl::PlatformControl(PlatformHandler &platform, HttpServer &server)
    : m_platform(platform)
    , m_server(server)
{
}

boost::asio::awaitable<Reply> PlatformControl::handle(Request request)
{
    m_platform.workers().advance(m_platform.now());
    if (request.method == "GET")
        co_return handleGet(request.path);
    co_return handlePost(request.path, request.json());
}

Reply PlatformControl::handleGet(const std::string &path)
{
    if (path == "/control/violations")
        return Reply::json(m_platform.workers().violations().report());
    if (path == "/control/attempts")
        return Reply::json(m_platform.workers().report());
    if (path == "/control/log")
        return Reply::json(m_platform.log().report());
    return Reply::error(404, "no such page");
}

Reply PlatformControl::handlePost(const std::string &path, const Json::Value &value)
{
    if (!change(path, value))
        return Reply::error(404, "no such page");
    return Reply::json(Json::Value(Json::objectValue));
}

bool PlatformControl::change(const std::string &path, const Json::Value &value)
{
    const Core::Instant now = m_platform.now();
    if (path == "/control/fault")
        setFault(value);
    else if (path == "/control/vms")
        m_platform.vms().replace(arrayMember(value, "vms"), now);
    else if (path == "/control/vm")
        m_platform.vms().change(value, now);
    else if (path == "/control/domain")
        m_platform.workers().setDomainOut(stringMember(value, "failureDomain"),
                                          booleanMember(value, "isOut"), now);
    else if (path == "/control/worker")
        setWorker(value);
    else if (path == "/control/retention")
        m_platform.log().setRetention(static_cast<std::size_t>(integerMember(value, "records")));
    else
        return false;
    m_platform.workers().noteVmChange(now);
    return true;
}

void PlatformControl::setFault(const Json::Value &value)
{
    const std::string target = stringMember(value, "target");
    const Faults faults = Faults::fromJson(value);
    m_platform.faults().set(target, faults);
    if (target == "/")
        m_server.setDown(faults.isDown);
    if (value.get("silenceOpen", false).asBool())
        m_server.silenceOpenConnections();
}

void PlatformControl::setWorker(const Json::Value &value)
{
    const std::string worker = stringMember(value, "worker");
    if (value.isMember("failsTasks"))
        m_platform.workers().setFailing(worker, booleanMember(value, "failsTasks"));
    if (value["slowdown"].isNumeric())
        m_platform.workers().setSlowdown(worker, value["slowdown"].asDouble());
}

} // namespace StandIn
