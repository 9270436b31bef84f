#pragma once

#include <LibHttp/Endpoint.h>
#include <LibPlatform/LogService.h>

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace Http {
class Client;
}

namespace Platform {

/// The log service over HTTP; docs/design/PLATFORM.md describes the format. It must outlive its
/// calls and is used from one thread only.
class HttpLogService final : public LogService
{
public:
    /// \throws Core::FormatError if the endpoint's address isn't an IP address.
    HttpLogService(const boost::asio::any_io_executor &executor, const Http::Endpoint &endpoint);
    ~HttpLogService() override;

    boost::asio::awaitable<Offset> append(std::string stream, std::vector<std::string> bodies,
                                          Core::Instant deadline) override;
    boost::asio::awaitable<LogPage> read(std::string stream, Offset from,
                                         std::size_t maximumRecords,
                                         Core::Instant deadline) override;

private:
    std::unique_ptr<Http::Client> m_client;
};

} // namespace Platform
