#pragma once

#include <json/value.h>

#include <map>
#include <string>
#include <vector>

namespace StandIn {

/// Counts violations of the platform's rules by kind, and keeps the descriptions of the first few.
class Violations
{
public:
    void add(const std::string &kind, const std::string &detail);
    int count(const std::string &kind) const;
    Json::Value report() const;

private:
    static constexpr std::size_t maximumDetails = 50;

    std::map<std::string, int> m_counts;
    std::vector<std::string> m_details;
};

} // namespace StandIn
