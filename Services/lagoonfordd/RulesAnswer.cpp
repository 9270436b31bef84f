#include "RulesAnswer.h"

#include <LibCore/Json.h>

namespace Daemon {

static Json::Value versionToJson(const Rules::RuleVersion &version)
{
    Json::Value value(Json::objectValue);
    value["number"] = Json::UInt64(version.number);
    value["text"] = version.text;
    value["by"] = version.publishedBy;
    return value;
}

static Rules::RuleVersion versionFromJson(const Json::Value &value)
{
    const auto number = static_cast<std::uint64_t>(Core::Json::integerMember(value, "number"));
    return Rules::RuleVersion::create(number, Core::Json::stringMember(value, "text"),
                                      Core::Json::stringMember(value, "by"));
}

Json::Value RulesAnswer::request(const Rules::RuleReplica &replica)
{
    Json::Value value(Json::objectValue);
    value["have"] = Json::UInt64(replica.current().number);
    value["gap"] = !replica.isReady();
    return value;
}

RulesAnswer RulesAnswer::answer(const Json::Value &parameters, const Rules::RuleReplica &replica,
                                const Rules::FreshnessGate &freshness, Core::Instant now)
{
    const auto have = static_cast<std::uint64_t>(Core::Json::integerMember(parameters, "have"));
    RulesAnswer answer;
    answer.m_currentNumber = replica.current().number;
    if (replica.current().number > have)
        answer.m_current = replica.current();
    if (Core::Json::booleanMember(parameters, "gap") && replica.isReady()) {
        answer.m_logVersion = replica.logVersion();
        answer.m_readThrough = replica.nextOffset();
    }
    if (const auto asOf = freshness.freshAsOf())
        answer.m_age = (now - *asOf).count();
    return answer;
}

Json::Value RulesAnswer::toJson() const
{
    Json::Value value(Json::objectValue);
    value["number"] = Json::UInt64(m_currentNumber);
    if (m_current)
        value["current"] = versionToJson(*m_current);
    if (m_logVersion) {
        value["log"] = versionToJson(*m_logVersion);
        value["readThrough"] = Json::UInt64(m_readThrough);
    }
    if (m_age)
        value["ageUs"] = Json::Int64(*m_age);
    return value;
}

RulesAnswer RulesAnswer::fromJson(const Json::Value &value)
{
    RulesAnswer answer;
    answer.m_currentNumber = static_cast<std::uint64_t>(Core::Json::integerMember(value, "number"));
    if (value.isMember("current"))
        answer.m_current = versionFromJson(value["current"]);
    if (value.isMember("log")) {
        answer.m_logVersion = versionFromJson(value["log"]);
        answer.m_readThrough
            = static_cast<std::uint64_t>(Core::Json::integerMember(value, "readThrough"));
    }
    if (value.isMember("ageUs"))
        answer.m_age = Core::Json::integerMember(value, "ageUs");
    return answer;
}

void RulesAnswer::applyTo(Rules::RuleReplica &replica, Rules::FreshnessGate &freshness,
                          Core::Instant askedAt) const
{
    if (m_current)
        replica.learn(*m_current);
    if (m_logVersion)
        replica.bridge(*m_logVersion, m_readThrough);
    const bool hasItsVersion = replica.current().number >= m_currentNumber;
    if (m_age && hasItsVersion && replica.isReady())
        freshness.onPeerAnswer(askedAt, Core::Duration(*m_age));
}

} // namespace Daemon
