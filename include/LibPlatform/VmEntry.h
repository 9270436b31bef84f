#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>

#include <compare>
#include <cstdint>
#include <string>

namespace Platform {

enum class VmKind {
    EntryVm,
    Worker,
};

enum class VmState {
    Live,
    Leaving,
};

/// One entry of the platform's list of VMs, which may be out of date.
struct VmEntry
{
    Core::VmId id;
    VmKind kind = VmKind::Worker;
    VmState state = VmState::Live;
    Core::FailureDomainId failureDomain;
    std::string rack;
    /// The IP address of the VM.
    std::string address;
    /// Of an entry VM: the port for its peers. Of a worker: the port of its backend server.
    std::uint16_t port = 0;
    /// Of an entry VM: the port for callers, also used for spill-over between failure domains.
    std::uint16_t callerPort = 0;
    /// The capacity of a worker for tasks.
    Core::Resources capacity;
    /// The maximum number of concurrent requests of the worker's backend server.
    int slots = 0;
    /// The maximum number of connections of the worker's backend server.
    int connections = 0;

    bool operator==(const VmEntry &) const = default;
};

} // namespace Platform
