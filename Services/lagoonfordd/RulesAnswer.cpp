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

Json::Value RulesAnswer::request(const Rules::RuleBook &book)
{
    Json::Value value(Json::objectValue);
    value["have"] = Json::UInt64(book.current().number);
    value["gap"] = !book.isReady();
    return value;
}

RulesAnswer RulesAnswer::answer(const Json::Value &parameters, const Rules::RuleBook &book,
                                const Rules::FreshnessGate &freshness, Core::Instant now)
{
    const auto have = static_cast<std::uint64_t>(Core::Json::integerMember(parameters, "have"));
    RulesAnswer answer;
    answer.m_currentNumber = book.current().number;
    if (book.current().number > have)
        answer.m_current = book.current();
    if (Core::Json::booleanMember(parameters, "gap") && book.isReady()) {
        answer.m_logVersion = book.logVersion();
        answer.m_readThrough = book.nextOffset();
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

void RulesAnswer::applyTo(Rules::RuleBook &book, Rules::FreshnessGate &freshness,
                          Core::Instant askedAt) const
{
    if (m_current)
        book.learn(*m_current);
    if (m_logVersion)
        book.bridge(*m_logVersion, m_readThrough);
    const bool hasItsVersion = book.current().number >= m_currentNumber;
    if (m_age && hasItsVersion && book.isReady())
        freshness.onPeerAnswer(askedAt, Core::Duration(*m_age));
}

} // namespace Daemon
