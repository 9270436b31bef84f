#pragma once

#include <json/value.h>

#include <map>
#include <string>

namespace StandIn {

/// How often each request and each idempotency key was executed.
class Executions
{
public:
    /// Empty names aren't counted.
    void count(const std::string &requestId, const std::string &key);

    /// How often each request id was executed.
    const std::map<std::string, int> &byRequest() const { return m_byRequest; }

    /// The numbers of executions, and the names that were executed more than once.
    Json::Value report() const;

private:
    std::map<std::string, int> m_byRequest;
    std::map<std::string, int> m_byKey;
};

} // namespace StandIn
