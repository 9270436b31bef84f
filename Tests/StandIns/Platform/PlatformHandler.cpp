#include "Platform/PlatformHandler.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>

namespace StandIn {

using Core::Json::arrayMember;
using Core::Json::integerMember;
using Core::Json::stringMember;

PlatformHandler::PlatformHandler(const PlatformSettings &settings, Clock clock)
    : m_clock(std::move(clock))
    , m_log(settings.retainedRecords)
    , m_vms(settings.listLag)
    , m_workers(m_vms, settings.grace, settings.isFencing)
{
}

static std::vector<std::string> splitPath(const std::string &path)
{
    std::vector<std::string> segments;
    std::size_t start = 1;
    while (start < path.size()) {
        const std::size_t end = std::min(path.find('/', start), path.size());
        segments.push_back(path.substr(start, end - start));
        start = end + 1;
    }
    return segments;
}

boost::asio::awaitable<Reply> PlatformHandler::handle(Request request)
{
    m_workers.advance(now());
    const std::vector<std::string> path = splitPath(request.path);
    if (path.size() == 1 && path[0] == "vms") {
        const auto unless = request.query.find("unless");
        co_return Reply::json(
            m_vms.shown(unless == request.query.end() ? "" : unless->second, now()));
    }
    if (path.size() == 3 && path[0] == "log" && path[2] == "records")
        co_return handleLog(path[1], request);
    if (path.size() == 3 && path[0] == "workers")
        co_return handleWorker(path[1], path[2], request.json());
    co_return Reply::error(404, "no such page");
}

Faults PlatformHandler::faultsFor(const Request &request)
{
    return m_faults.find(request.path);
}

Reply PlatformHandler::handleLog(const std::string &stream, const Request &request)
{
    if (request.method == "GET") {
        const auto from = static_cast<std::uint64_t>(request.queryNumber("from", 0));
        const auto maximum = static_cast<std::size_t>(request.queryNumber("max", 100));
        return Reply::json(m_log.read(stream, from, maximum));
    }
    const Json::Value value = request.json();
    std::vector<std::string> bodies;
    for (const Json::Value &body : arrayMember(value, "bodies")) {
        if (!body.isString())
            throw Core::FormatError("append", stream, "a body is no string");
        bodies.push_back(body.asString());
    }
    Json::Value answer;
    answer["first"] = Json::UInt64(m_log.append(stream, bodies));
    return Reply::json(answer);
}

static Reply done(bool isKnown)
{
    return isKnown ? Reply::json(Json::Value(Json::objectValue))
                   : Reply::error(404, "no such worker");
}

Reply PlatformHandler::handleWorker(const std::string &worker, const std::string &action,
                                    const Json::Value &command)
{
    if (action == "start")
        return handleStart(worker, command);
    if (action == "renew")
        return handleRenew(worker, command);
    const AttemptName attempt = attemptNameFromJson(command["attempt"]);
    if (action == "stop") {
        const bool withCheckpoint = stringMember(command, "mode") == "checkpoint";
        return done(m_workers.stop(worker, attempt, withCheckpoint));
    }
    if (action == "throttle") {
        const auto percent = static_cast<int>(integerMember(command, "percent"));
        return done(m_workers.throttle(worker, attempt, percent));
    }
    return Reply::error(404, "no such action");
}

Reply PlatformHandler::handleStart(const std::string &worker, const Json::Value &command)
{
    const StartResult result = m_workers.start(worker, command, now());
    if (result == StartResult::Fenced)
        return Reply::error(409, "the epoch is outdated");
    return done(result == StartResult::Accepted);
}

static std::vector<AttemptName> attemptNames(const Json::Value &command, const char *member)
{
    std::vector<AttemptName> names;
    for (const Json::Value &attempt : arrayMember(command, member))
        names.push_back(attemptNameFromJson(attempt));
    return names;
}

Reply PlatformHandler::handleRenew(const std::string &worker, const Json::Value &command)
{
    const auto lease = std::chrono::milliseconds(integerMember(command, "leaseMs"));
    const std::vector<AttemptName> acknowledged = attemptNames(command, "acknowledged");
    if (!m_workers.renew(worker, attemptNames(command, "attempts"), now() + lease))
        return done(false);
    m_workers.acknowledge(worker, acknowledged);
    return Reply::json(m_workers.reports(worker, now()));
}

} // namespace StandIn
