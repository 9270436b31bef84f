#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>

#include <json/value.h>

#include <cstdint>
#include <string>

namespace Daemon {

/// The state of an entry VM, as it answers the call `vm.state` of a peer.
struct VmState
{
    static constexpr const char *methodName = "vm.state";

    Core::VmId vm;
    /// Identifies the run of the process; changes with each restart.
    std::string run;
    Core::FailureDomainId failureDomain;
    bool isLeaving = false;
    /// True if the VM is the placer of its failure domain.
    bool isPlacer = false;
    /// The free capacity of a placer's failure domain for tasks of other failure domains.
    Core::Resources free;
    std::uint64_t rulesVersion = 0;
    /// Number of callers' requests that wait for a backend server.
    std::uint64_t queued = 0;

    bool operator==(const VmState &) const = default;

    Json::Value toJson() const;
    /// \throws Core::FormatError if \p value is malformed.
    static VmState fromJson(const Json::Value &value);
};

} // namespace Daemon
