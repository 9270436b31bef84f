#pragma once

#include <LibCore/Time.h>
#include <LibPlatform/Http/HttpEndpoint.h>

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace Platform {

enum class HttpMethod {
    Get,
    Post,
};

struct HttpRequest
{
    /// Names the operation in errors.
    std::string step;
    HttpMethod method = HttpMethod::Get;
    std::string target;
    /// Called at the last moment before each sending, so that moments relative to now stay true
    /// while a connection is being opened. May throw Core::NotDoneError. Empty for no body.
    std::function<std::string()> encodeBody;
    /// True if sending it twice has the effect of sending it once. Such a request is repeated once
    /// if the server had closed the pooled connection that it went out on.
    bool isIdempotent = false;
};

/// Calls to one HTTP/1.1 endpoint over a pool of keep-alive connections.
///
/// A connection serves one call at a time and is closed unless its answer was read whole, so an
/// answer never reaches another call than its own.
class HttpClient
{
public:
    /// The largest answer body that is read, in bytes.
    static constexpr std::size_t maximumBodyBytes = 4 * 1024 * 1024;
    /// How many calls may be under way at once; further ones fail at once.
    static constexpr std::size_t maximumConnections = 256;
    /// How many unused connections are kept.
    static constexpr std::size_t maximumIdleConnections = 16;

    /// \throws Core::FormatError if the endpoint's address is no IP number.
    HttpClient(const boost::asio::any_io_executor &executor, const HttpEndpoint &endpoint);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Returns the body of a 2xx answer. \p deadline bounds everything, connecting included.
    /// \throws Core::NotDoneError if nothing was sent, or the answer is a refusal (4xx).
    /// \throws Core::OutcomeUnknownError if bytes were sent and no whole answer came, or one
    /// of another status.
    boost::asio::awaitable<std::string> call(HttpRequest request, Core::Instant deadline);

private:
    class Pool;
    std::shared_ptr<Pool> m_pool;
};

} // namespace Platform
