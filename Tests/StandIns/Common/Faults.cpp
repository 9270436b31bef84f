#include "Common/Faults.h"

namespace StandIn {

Faults Faults::fromJson(const Json::Value &value)
{
    Faults faults;
    faults.isDown = value.get("down", false).asBool();
    faults.isFrozen = value.get("freeze", false).asBool();
    faults.losesAnswers = value.get("loseAnswers", false).asBool();
    faults.truncatesBodies = value.get("truncate", false).asBool();
    faults.failsFast = value.get("fail", false).asBool();
    faults.delay = std::chrono::milliseconds(value.get("slowMs", 0).asInt());
    return faults;
}

void FaultTable::set(const std::string &path, const Faults &faults)
{
    m_faults[path] = faults;
}

Faults FaultTable::find(const std::string &path) const
{
    std::string prefix = path;
    while (!prefix.empty()) {
        const auto found = m_faults.find(prefix);
        if (found != m_faults.end())
            return found->second;
        prefix.erase(prefix.rfind('/') == std::string::npos ? 0 : prefix.rfind('/'));
    }
    const auto everything = m_faults.find("/");
    return everything == m_faults.end() ? Faults() : everything->second;
}

} // namespace StandIn
