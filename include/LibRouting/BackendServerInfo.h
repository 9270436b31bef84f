#pragma once

#include <LibCore/Identifier.h>

namespace Routing {

/// A backend server of this failure domain, with this entry VM's share of its limits. A share may
/// be lowered below what is in use; then no request is sent until the use is below the share.
struct BackendServerInfo
{
    Core::VmId id;
    bool isLeaving = false;
    int slots = 0;
    int connections = 0;

    bool operator==(const BackendServerInfo &) const = default;
};

} // namespace Routing
