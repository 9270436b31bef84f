#include "Executions.h"

namespace StandIn {

void Executions::count(const std::string &requestId, const std::string &key)
{
    if (!requestId.empty())
        ++m_byRequest[requestId];
    if (!key.empty())
        ++m_byKey[key];
}

static Json::Value repeated(const std::map<std::string, int> &counts)
{
    Json::Value value(Json::objectValue);
    for (const auto &[name, count] : counts) {
        if (count > 1)
            value[name] = count;
    }
    return value;
}

Json::Value Executions::report() const
{
    Json::Value value;
    value["requests"] = Json::UInt64(m_byRequest.size());
    value["keys"] = Json::UInt64(m_byKey.size());
    value["repeatedRequests"] = repeated(m_byRequest);
    value["repeatedKeys"] = repeated(m_byKey);
    return value;
}

} // namespace StandIn
