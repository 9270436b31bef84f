#include "Platform/Violations.h"

namespace StandIn {

void Violations::add(const std::string &kind, const std::string &detail)
{
    ++m_counts[kind];
    if (m_details.size() < maximumDetails)
        m_details.push_back(kind + ": " + detail);
}

int Violations::count(const std::string &kind) const
{
    const auto found = m_counts.find(kind);
    return found == m_counts.end() ? 0 : found->second;
}

Json::Value Violations::report() const
{
    Json::Value value;
    int total = 0;
    value["counts"] = Json::Value(Json::objectValue);
    for (const auto &[kind, count] : m_counts) {
        value["counts"][kind] = count;
        total += count;
    }
    value["total"] = total;
    value["details"] = Json::Value(Json::arrayValue);
    for (const std::string &detail : m_details)
        value["details"].append(detail);
    return value;
}

} // namespace StandIn
