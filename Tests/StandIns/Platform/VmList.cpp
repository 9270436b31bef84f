#include "Platform/VmList.h"

#include <LibCore/Json.h>
#include <LibCore/StableHash.h>

namespace StandIn {

using Core::Json::integerMember;
using Core::Json::stringMember;

VmList::VmList(Core::Duration lag)
    : m_lag(lag)
{
}

void VmList::replace(const Json::Value &vms, Core::Instant now)
{
    std::map<std::string, Json::Value> list;
    for (const Json::Value &vm : vms)
        list[stringMember(vm, "id")] = vm;
    m_vms = std::move(list);
    publish(now);
}

void VmList::change(const Json::Value &change, Core::Instant now)
{
    const std::string id = stringMember(change, "id");
    if (change["state"].asString() == "gone") {
        m_vms.erase(id);
        publish(now);
        return;
    }
    Json::Value &vm = m_vms[id];
    for (const std::string &name : change.getMemberNames())
        vm[name] = change[name];
    publish(now);
}

void VmList::publish(Core::Instant now)
{
    // The first list is published without delay.
    const Core::Instant visibleFrom = m_versions.empty() ? now : now + m_lag;
    Json::Value vms(Json::arrayValue);
    for (const auto &[id, vm] : m_vms)
        vms.append(vm);
    m_versions.push_back({ visibleFrom, vms });
}

std::optional<WorkerInfo> VmList::worker(const std::string &id) const
{
    const auto found = m_vms.find(id);
    if (found == m_vms.end() || found->second["kind"].asString() != "worker")
        return std::nullopt;
    const Json::Value &vm = found->second;
    const Json::Value &capacity = vm["capacity"];
    WorkerInfo worker;
    worker.failureDomain = stringMember(vm, "failureDomain");
    worker.capacity = { integerMember(capacity, "milliCores"), integerMember(capacity, "mebibytes"),
                        integerMember(capacity, "accelerators") };
    worker.isLeaving = vm["state"].asString() == "leaving";
    return worker;
}

std::vector<std::string> VmList::leavingWorkers() const
{
    std::vector<std::string> ids;
    for (const auto &[id, vm] : m_vms) {
        const bool isWorker = vm["kind"].asString() == "worker";
        if (isWorker && vm["state"].asString() == "leaving")
            ids.push_back(id);
    }
    return ids;
}

Json::Value VmList::shown(const std::string &unlessVersion, Core::Instant now)
{
    while (m_versions.size() > 1 && m_versions[1].visibleFrom <= now)
        m_versions.pop_front();
    Json::Value vms = m_versions.empty() ? Json::Value(Json::arrayValue) : m_versions.front().vms;
    Json::Value value;
    value["version"] = std::to_string(Core::stableHash(Core::Json::write(vms)));
    if (value["version"].asString() != unlessVersion)
        value["vms"] = vms;
    return value;
}

} // namespace StandIn
