#include "VmState.h"

#include <LibCore/Json.h>

namespace Daemon {

Json::Value VmState::toJson() const
{
    Json::Value value(Json::objectValue);
    value["vm"] = vm.text();
    value["run"] = run;
    value["domain"] = failureDomain.text();
    value["leaving"] = isLeaving;
    value["placer"] = isPlacer;
    value["milliCores"] = Json::Int64(free.milliCores);
    value["mebibytes"] = Json::Int64(free.mebibytes);
    value["accelerators"] = Json::Int64(free.accelerators);
    value["rules"] = Json::UInt64(rulesVersion);
    value["queued"] = Json::UInt64(queued);
    return value;
}

VmState VmState::fromJson(const Json::Value &value)
{
    VmState state;
    state.vm = Core::VmId(Core::Json::stringMember(value, "vm"));
    state.run = Core::Json::stringMember(value, "run");
    state.failureDomain = Core::FailureDomainId(Core::Json::stringMember(value, "domain"));
    state.isLeaving = Core::Json::booleanMember(value, "leaving");
    state.isPlacer = Core::Json::booleanMember(value, "placer");
    state.free = { Core::Json::integerMember(value, "milliCores"),
                   Core::Json::integerMember(value, "mebibytes"),
                   Core::Json::integerMember(value, "accelerators") };
    state.rulesVersion = static_cast<std::uint64_t>(Core::Json::integerMember(value, "rules"));
    state.queued = static_cast<std::uint64_t>(Core::Json::integerMember(value, "queued"));
    return state;
}

} // namespace Daemon
