#include <LibPlatform/Http/HttpLogService.h>

#include "Http/WireFormat.h"
#include <LibHttp/Client.h>

#include <LibCore/Error.h>

namespace Platform {

static std::string recordsPath(const std::string &stream)
{
    return "/log/" + WireFormat::pathSegment(stream) + "/records";
}

HttpLogService::HttpLogService(const boost::asio::any_io_executor &executor,
                               const Http::Endpoint &endpoint)
    : m_client(std::make_unique<Http::Client>(executor, endpoint))
{
}

HttpLogService::~HttpLogService() = default;

boost::asio::awaitable<Offset>
HttpLogService::append(std::string stream, std::vector<std::string> bodies, Core::Instant deadline)
{
    Http::Request request { "append", Http::Method::Post, recordsPath(stream),
                            [&bodies] { return WireFormat::encodeAppend(bodies); }, false };
    const std::string answer = co_await m_client->call(std::move(request), deadline);
    try {
        co_return WireFormat::decodeAppend(answer, stream);
    } catch (const Core::FormatError &error) {
        throw Core::OutcomeUnknownError("append", stream, error.what());
    }
}

boost::asio::awaitable<LogPage> HttpLogService::read(std::string stream, Offset from,
                                                     std::size_t maximumRecords,
                                                     Core::Instant deadline)
{
    const std::string query
        = "?from=" + std::to_string(from) + "&max=" + std::to_string(maximumRecords);
    Http::Request request { "read", Http::Method::Get, recordsPath(stream) + query, {}, true };
    const std::string answer = co_await m_client->call(std::move(request), deadline);
    co_return WireFormat::decodeLogPage(answer, stream);
}

} // namespace Platform
