#include "Platform/Attempt.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>

#include <array>

namespace StandIn {

using Core::Json::integerMember;
using Core::Json::stringMember;

/// Time from the start of an attempt until reports include its use.
static constexpr Core::Duration usageLag = std::chrono::seconds(1);
static constexpr std::array<const char *, 4> phaseNames { "running", "finished", "failed",
                                                          "stopped" };
static constexpr const char *checkpointPrefix = "done-us=";

static Core::Resources resourcesFromJson(const Json::Value &value)
{
    return { integerMember(value, "milliCores"), integerMember(value, "mebibytes"),
             integerMember(value, "accelerators") };
}

static Json::Value toJson(const Core::Resources &resources)
{
    Json::Value value;
    value["milliCores"] = Json::Int64(resources.milliCores);
    value["mebibytes"] = Json::Int64(resources.mebibytes);
    value["accelerators"] = Json::Int64(resources.accelerators);
    return value;
}

AttemptName attemptNameFromJson(const Json::Value &value)
{
    return { stringMember(value, "task"), integerMember(value, "number") };
}

static Json::Value parsePayload(const std::string &payload)
{
    try {
        const Json::Value value = Core::Json::parse(payload, "payload");
        return value.isObject() ? value : Json::Value(Json::objectValue);
    } catch (const Core::FormatError &) {
        // Payloads are opaque; one in another format runs as declared.
        return Json::Value(Json::objectValue);
    }
}

static Core::Duration progressIn(const std::string &checkpoint)
{
    const std::string prefix = checkpointPrefix;
    if (checkpoint.compare(0, prefix.size(), prefix) != 0)
        return {};
    return Core::Duration(std::stoll(checkpoint.substr(prefix.size())));
}

Attempt Attempt::fromJson(const std::string &worker, const Json::Value &command, Core::Instant now)
{
    const Json::Value &spec = command["spec"];
    const Json::Value payload = parsePayload(stringMember(spec, "payload"));
    Attempt attempt;
    attempt.name = attemptNameFromJson(command["attempt"]);
    attempt.worker = worker;
    attempt.declared = resourcesFromJson(spec["declared"]);
    attempt.used
        = payload["realUse"].isObject() ? resourcesFromJson(payload["realUse"]) : attempt.declared;
    const std::int64_t runMs = payload["runMs"].isInt64() ? payload["runMs"].asInt64()
                                                          : integerMember(spec, "expectedRunMs");
    attempt.runTime = std::chrono::milliseconds(runMs);
    attempt.isFailing = payload.get("fail", false).asBool();
    attempt.progress = progressIn(stringMember(command, "checkpoint"));
    attempt.checkpointed = attempt.progress;
    attempt.startedAt = now;
    attempt.leaseDeadline = now + std::chrono::milliseconds(integerMember(command, "leaseMs"));
    return attempt;
}

Json::Value Attempt::report(double slowdown, Core::Instant now) const
{
    const bool isUseKnown = phase == Phase::Running && now - startedAt >= usageLag;
    Json::Value value;
    value["attempt"]["task"] = name.first;
    value["attempt"]["number"] = Json::Int64(name.second);
    value["phase"] = phaseNames.at(static_cast<std::size_t>(phase));
    value["used"] = toJson(isUseKnown ? used : Core::Resources());
    value["checkpoint"] = checkpointed.count() > 0
        ? checkpointPrefix + std::to_string(checkpointed.count())
        : std::string();
    value["slowdown"] = slowdown;
    value["detail"] = detail;
    return value;
}

} // namespace StandIn
