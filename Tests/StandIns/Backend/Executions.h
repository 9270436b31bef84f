#pragma once

#include <json/value.h>

#include <map>
#include <string>

namespace StandIn {

/// Counts the executions of each request and of each idempotency key.
class Executions
{
public:
    /// Ignores empty names.
    void count(const std::string &requestId, const std::string &key);

    /// Returns the number of executions by request ID.
    const std::map<std::string, int> &byRequest() const { return m_byRequest; }

    /// Returns the numbers of executions, and the names with more than one.
    Json::Value report() const;

private:
    std::map<std::string, int> m_byRequest;
    std::map<std::string, int> m_byKey;
};

} // namespace StandIn
