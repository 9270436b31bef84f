#pragma once

#include "Platform/PlatformHandler.h"

namespace StandIn {

/// The control port of the platform's stand-in. All bodies are JSON objects.
///
/// - `GET /control/violations`: the violations of the platform's rules.
/// - `GET /control/attempts`: counts of attempts; `GET /control/log`: counts of appends.
/// - `POST /control/fault`: members of Faults, `target` (a path such as `/log/rules`, or `/`) and
///   `silenceOpen`.
/// - `POST /control/vms`: replaces the list by the member `vms`; `POST /control/vm`: changes one.
/// - `POST /control/domain`: `failureDomain` and `isOut`, as in the operators' rules.
/// - `POST /control/worker`: `worker`, and any of `failsTasks` and `slowdown`.
/// - `POST /control/retention`: `records`.
class PlatformControl final : public RequestHandler
{
public:
    PlatformControl(PlatformHandler &platform, HttpServer &server);

    boost::asio::awaitable<Reply> handle(Request request) override;

private:
    Reply handleGet(const std::string &path);
    Reply handlePost(const std::string &path, const Json::Value &value);
    void setFault(const Json::Value &value);
    void setWorker(const Json::Value &value);
    bool change(const std::string &path, const Json::Value &value);

    PlatformHandler &m_platform;
    HttpServer &m_server;
};

} // namespace StandIn
