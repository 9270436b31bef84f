#include "KeyMessages.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>

namespace Daemon {

static Json::Value outcomeToJson(const Routing::StoredOutcome &outcome)
{
    Json::Value value(Json::objectValue);
    value["status"] = outcome.status;
    value["answer"] = outcome.answer;
    value["mayHaveRun"] = outcome.mayHaveRun;
    return value;
}

static Routing::StoredOutcome outcomeFromJson(const Json::Value &value)
{
    return { static_cast<int>(Core::Json::integerMember(value, "status")),
             Core::Json::stringMember(value, "answer"),
             Core::Json::booleanMember(value, "mayHaveRun") };
}

Json::Value KeyBegin::toJson() const
{
    Json::Value value(Json::objectValue);
    value["team"] = team.text();
    value["key"] = key;
    value["request"] = request.text();
    if (issuedAtUnixMs)
        value["issuedAt"] = Json::Int64(*issuedAtUnixMs);
    return value;
}

KeyBegin KeyBegin::fromJson(const Json::Value &value)
{
    KeyBegin begin;
    begin.team = Core::TeamId(Core::Json::stringMember(value, "team"));
    begin.key = Core::Json::stringMember(value, "key");
    begin.request = Core::RequestId(Core::Json::stringMember(value, "request"));
    if (value.isMember("issuedAt"))
        begin.issuedAtUnixMs = Core::Json::integerMember(value, "issuedAt");
    return begin;
}

Json::Value KeyFinish::toJson() const
{
    Json::Value value(Json::objectValue);
    value["team"] = team.text();
    value["key"] = key;
    value["request"] = request.text();
    if (outcome)
        value["outcome"] = outcomeToJson(*outcome);
    return value;
}

KeyFinish KeyFinish::fromJson(const Json::Value &value)
{
    KeyFinish finish;
    finish.team = Core::TeamId(Core::Json::stringMember(value, "team"));
    finish.key = Core::Json::stringMember(value, "key");
    finish.request = Core::RequestId(Core::Json::stringMember(value, "request"));
    if (value.isMember("outcome"))
        finish.outcome = outcomeFromJson(value["outcome"]);
    return finish;
}

Json::Value keyAnswerToJson(const KeyAnswer &answer)
{
    Json::Value value(Json::objectValue);
    if (const auto *redirect = std::get_if<KeyRedirect>(&answer)) {
        value["decision"] = "redirect";
        value["owner"] = redirect->owner.text();
        return value;
    }
    const auto &decision = std::get<Routing::KeyDecision>(answer);
    if (std::holds_alternative<Routing::Run>(decision)) {
        value["decision"] = "run";
    } else if (std::holds_alternative<Routing::InProgress>(decision)) {
        value["decision"] = "in-progress";
    } else if (const auto *known = std::get_if<Routing::Known>(&decision)) {
        value["decision"] = "known";
        value["outcome"] = outcomeToJson(known->outcome);
    } else if (const auto *mayHaveRun = std::get_if<Routing::RefusedMayHaveRun>(&decision)) {
        value["decision"] = "may-have-run";
        value["reason"] = mayHaveRun->reason;
    } else {
        value["decision"] = "refused";
        value["reason"] = std::get<Routing::RefusedKey>(decision).reason;
    }
    return value;
}

KeyAnswer keyAnswerFromJson(const Json::Value &value)
{
    using Routing::KeyDecision;
    const std::string name = Core::Json::stringMember(value, "decision");
    if (name == "redirect")
        return KeyRedirect { Core::VmId(Core::Json::stringMember(value, "owner")) };
    if (name == "run")
        return KeyDecision(Routing::Run {});
    if (name == "in-progress")
        return KeyDecision(Routing::InProgress {});
    if (name == "known")
        return KeyDecision(Routing::Known { outcomeFromJson(value["outcome"]) });
    if (name == "may-have-run")
        return KeyDecision(
            Routing::RefusedMayHaveRun { Core::Json::stringMember(value, "reason") });
    if (name == "refused")
        return KeyDecision(Routing::RefusedKey { Core::Json::stringMember(value, "reason") });
    throw Core::FormatError("read key answer", name, "the decision is unknown");
}

} // namespace Daemon
