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

/// One line of the platform's list of VMs, which lags behind the truth.
struct VmEntry
{
    Core::VmId id;
    VmKind kind = VmKind::Worker;
    VmState state = VmState::Live;
    Core::FailureDomainId failureDomain;
    std::string rack;
    /// The IP number of the VM.
    std::string address;
    /// Of an entry VM: the port for its peers. Of a worker: the port of its backend server.
    std::uint16_t port = 0;
    /// Of an entry VM: the port of its callers' door, used for spill-over between failure domains.
    std::uint16_t callerPort = 0;
    /// What a worker offers to tasks.
    Core::Resources capacity;
    /// How many requests the worker's backend server may have in work.
    int slots = 0;
    /// How many connections the worker's backend server accepts.
    int connections = 0;

    bool operator==(const VmEntry &) const = default;
};

} // namespace Platform
