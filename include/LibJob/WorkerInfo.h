#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>
#include <LibJob/JobSpec.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Jobs {

/// What a worker has published about itself.
struct WorkerInfo
{
    Core::VmId id;
    /// IP number and port.
    std::string address;
    Core::FailureDomainId failureDomain;
    ServiceId service;
    bool isDraining = false;
    /// The whole room for tasks, whatever runs there.
    Core::Resources capacity;
    std::vector<std::string> labels;
    /// When this run of the worker began, in Unix milliseconds; tells its runs apart.
    std::int64_t bornUnixMs = 0;

    bool hasLabel(const std::string &label) const;
    /// The label that names the rack; empty if there is none.
    std::string rack() const;

    bool operator==(const WorkerInfo &) const = default;
};

} // namespace Jobs
