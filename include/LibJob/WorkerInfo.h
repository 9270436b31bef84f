#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>
#include <LibJob/JobSpec.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Jobs {

/// The properties that a worker publishes about itself.
struct WorkerInfo
{
    Core::VmId id;
    /// IP address and port.
    std::string address;
    Core::FailureDomainId failureDomain;
    ServiceId service;
    bool isDraining = false;
    /// Total capacity for tasks, including what is in use.
    Core::Resources capacity;
    std::vector<std::string> labels;
    /// When the worker's process started, in Unix milliseconds; identifies its incarnation. 0 if
    /// unknown.
    std::int64_t processStartUnixMs = 0;

    bool hasLabel(const std::string &label) const;
    /// Returns the second label, which names the rack; empty if there are fewer labels.
    std::string rack() const;

    bool operator==(const WorkerInfo &) const = default;
};

} // namespace Jobs
