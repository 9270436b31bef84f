#include "TraceEvent.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>

#include <algorithm>

namespace Load {

using Core::Json::integerMember;
using Core::Json::stringMember;
using std::chrono::milliseconds;

static constexpr std::size_t maximumEvents = 2'000'000;

static std::int64_t toMilliseconds(Core::Duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

static EventKind parseKind(const std::string &text)
{
    if (text == "request")
        return EventKind::Request;
    if (text == "job")
        return EventKind::Job;
    if (text == "cancel")
        return EventKind::Cancel;
    throw Core::FormatError("read trace", "kind", "unknown kind of event " + text);
}

static std::string kindName(EventKind kind)
{
    if (kind == EventKind::Request)
        return "request";
    return kind == EventKind::Job ? "job" : "cancel";
}

static TraceEvent parseEvent(const std::string &line, const std::string &origin)
{
    const Json::Value value = Core::Json::parse(line, origin);
    TraceEvent event;
    event.at = milliseconds(integerMember(value, "atMs"));
    event.kind = parseKind(stringMember(value, "kind"));
    event.id = value.get("id", "").asString();
    event.team = value.get("team", "").asString();
    event.taskClass = value.get("class", "").asString();
    event.method = value.get("method", "GET").asString();
    event.isIdempotent = value.get("idempotent", event.method == "GET").asBool();
    event.service = milliseconds(value.get("serviceMs", 0).asInt64());
    event.timeLimit = milliseconds(value.get("deadlineMs", 10000).asInt64());
    event.key = value.get("key", "").asString();
    event.declared = { value.get("milliCores", 0).asInt64(), value.get("mebibytes", 0).asInt64(),
                       value.get("accelerators", 0).asInt64() };
    event.expectedRun = milliseconds(value.get("expectedRunMs", 0).asInt64());
    event.realRun = milliseconds(value.get("runMs", value.get("expectedRunMs", 0)).asInt64());
    event.isFailing = value.get("fail", false).asBool();
    return event;
}

std::vector<TraceEvent> readTrace(std::istream &stream, const std::string &file)
{
    std::vector<TraceEvent> events;
    std::string line;
    for (std::size_t number = 1; std::getline(stream, line); ++number) {
        if (line.empty())
            continue;
        if (events.size() >= maximumEvents)
            throw Core::FormatError("read trace", file, "the trace is too long");
        events.push_back(parseEvent(line, file + ":" + std::to_string(number)));
        if (events.back().id.empty())
            events.back().id = "line-" + std::to_string(number);
    }
    std::stable_sort(events.begin(), events.end(),
                     [](const auto &left, const auto &right) { return left.at < right.at; });
    return events;
}

std::string toLine(const TraceEvent &event)
{
    Json::Value value;
    value["atMs"] = Json::Int64(toMilliseconds(event.at));
    value["kind"] = kindName(event.kind);
    value["id"] = event.id;
    if (event.kind == EventKind::Cancel)
        return Core::Json::write(value);
    value["team"] = event.team;
    value["class"] = event.taskClass;
    if (event.kind == EventKind::Request) {
        value["method"] = event.method;
        value["idempotent"] = event.isIdempotent;
        value["serviceMs"] = Json::Int64(toMilliseconds(event.service));
        value["deadlineMs"] = Json::Int64(toMilliseconds(event.timeLimit));
        value["key"] = event.key;
        return Core::Json::write(value);
    }
    value["milliCores"] = Json::Int64(event.declared.milliCores);
    value["mebibytes"] = Json::Int64(event.declared.mebibytes);
    value["accelerators"] = Json::Int64(event.declared.accelerators);
    value["expectedRunMs"] = Json::Int64(toMilliseconds(event.expectedRun));
    value["runMs"] = Json::Int64(toMilliseconds(event.realRun));
    value["fail"] = event.isFailing;
    return Core::Json::write(value);
}

} // namespace Load
