#include <LibPlatform/Http/HttpVmDirectory.h>

#include "Http/WireFormat.h"
#include <LibHttp/Client.h>

#include <LibCore/Error.h>

#include <utility>

namespace Platform {

HttpVmDirectory::HttpVmDirectory(const boost::asio::any_io_executor &executor,
                                 const Http::Endpoint &endpoint)
    : m_client(std::make_unique<Http::Client>(executor, endpoint))
{
}

HttpVmDirectory::~HttpVmDirectory() = default;

boost::asio::awaitable<std::vector<VmEntry>> HttpVmDirectory::list(Core::Instant deadline)
{
    // The list is long and rarely changes, so it is only sent again after a change.
    const std::string target
        = m_version.empty() ? "/vms" : "/vms?unless=" + WireFormat::pathSegment(m_version);
    Http::Request request { "list VMs", Http::Method::Get, target, {}, true };
    const std::string text = co_await m_client->call(std::move(request), deadline);
    WireFormat::VmListAnswer answer = WireFormat::decodeVmList(text, "list of VMs");
    if (!answer.entries && answer.version != m_version)
        throw Core::FormatError("list VMs", "platform", "the list is missing");
    if (answer.entries) {
        m_entries = std::move(*answer.entries);
        m_version = answer.version;
    }
    co_return m_entries;
}

} // namespace Platform
