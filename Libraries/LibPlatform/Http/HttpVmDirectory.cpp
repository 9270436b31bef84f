#include <LibPlatform/Http/HttpVmDirectory.h>

#include "Http/HttpClient.h"
#include "Http/WireFormat.h"

namespace Platform {

HttpVmDirectory::HttpVmDirectory(const boost::asio::any_io_executor &executor,
                                 const HttpEndpoint &endpoint)
    : m_client(std::make_unique<HttpClient>(executor, endpoint))
{
}

HttpVmDirectory::~HttpVmDirectory() = default;

boost::asio::awaitable<std::vector<VmEntry>> HttpVmDirectory::list(Core::Instant deadline)
{
    HttpRequest request { "list VMs", HttpMethod::Get, "/vms", {}, true };
    const std::string answer = co_await m_client->call(std::move(request), deadline);
    co_return WireFormat::decodeVmEntries(answer, "list of VMs");
}

} // namespace Platform
