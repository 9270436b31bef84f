#pragma once

#include <LibHttp/Endpoint.h>
#include <LibPlatform/VmDirectory.h>

#include <boost/asio/any_io_executor.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Http {
class Client;
}

namespace Platform {

/// The list of VMs over HTTP; docs/design/PLATFORM.md describes the format. It must outlive its
/// calls and is used from one thread only.
class HttpVmDirectory final : public VmDirectory
{
public:
    /// \throws Core::FormatError if the endpoint's address isn't an IP address.
    HttpVmDirectory(const boost::asio::any_io_executor &executor, const Http::Endpoint &endpoint);
    ~HttpVmDirectory() override;

    boost::asio::awaitable<std::vector<VmEntry>> list(Core::Instant deadline) override;

private:
    std::unique_ptr<Http::Client> m_client;
    /// The latest list, and its version as the platform names it.
    std::vector<VmEntry> m_entries;
    std::string m_version;
};

} // namespace Platform
