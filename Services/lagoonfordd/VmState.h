#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>

#include <json/value.h>

#include <cstdint>
#include <string>

namespace Daemon {

/// What an entry VM tells its peers about itself, as the result of the call `vm.state`.
struct VmState
{
    static constexpr const char *methodName = "vm.state";

    Core::VmId vm;
    /// The run of the process; another one after a restart.
    std::string run;
    Core::FailureDomainId failureDomain;
    bool isLeaving = false;
    /// True if the VM is the placer of its failure domain.
    bool isPlacer = false;
    /// What a placer's failure domain can take from others.
    Core::Resources free;
    std::uint64_t rulesVersion = 0;
    /// Requests waiting at the callers' door.
    std::uint64_t queued = 0;

    bool operator==(const VmState &) const = default;

    Json::Value toJson() const;
    /// \throws Core::FormatError if \p value is malformed.
    static VmState fromJson(const Json::Value &value);
};

} // namespace Daemon
