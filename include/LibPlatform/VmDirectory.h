#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/VmEntry.h>

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace Platform {

/// The platform's list of live and leaving VMs, which may be out of date.
class VmDirectory
{
public:
    VmDirectory() = default;
    VmDirectory(const VmDirectory &) = delete;
    VmDirectory &operator=(const VmDirectory &) = delete;
    virtual ~VmDirectory() = default;

    /// \throws Core::Error if the platform doesn't answer before \p deadline.
    virtual boost::asio::awaitable<std::vector<VmEntry>> list(Core::Instant deadline) = 0;
};

} // namespace Platform
