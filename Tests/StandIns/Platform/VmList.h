#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>

#include <json/value.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace StandIn {

struct WorkerInfo
{
    std::string failureDomain;
    Core::Resources capacity;
    bool isLeaving = false;

    bool operator==(const WorkerInfo &) const = default;
};

/// The actual list of VMs, and the published one, which is delayed.
class VmList
{
public:
    explicit VmList(Core::Duration lag);

    /// Replaces the list with the objects of \p vms. \throws Core::FormatError
    void replace(const Json::Value &vms, Core::Instant now);

    /// Adds a VM, or changes the members of a known one that \p change has. The state `gone`
    /// removes it. \throws Core::FormatError
    void change(const Json::Value &change, Core::Instant now);

    /// Returns the actual state of the worker; nothing if it is unknown.
    std::optional<WorkerInfo> worker(const std::string &id) const;

    std::vector<std::string> leavingWorkers() const;

    /// Returns the published list in the wire format.
    Json::Value shown(const std::string &unlessVersion, Core::Instant now);

private:
    struct Version
    {
        Core::Instant visibleFrom;
        Json::Value vms;
    };

    void publish(Core::Instant now);

    Core::Duration m_lag;
    std::map<std::string, Json::Value> m_vms;
    std::deque<Version> m_versions;
};

} // namespace StandIn
