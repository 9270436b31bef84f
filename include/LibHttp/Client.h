#pragma once

#include <LibCore/Time.h>
#include <LibHttp/ConnectionBudget.h>
#include <LibHttp/Endpoint.h>

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Http {

enum class Method {
    Get,
    Post,
};

struct HeaderField
{
    std::string name;
    std::string value;

    bool operator==(const HeaderField &) const = default;
};

/// A whole answer, whatever its status.
struct Answer
{
    unsigned status = 0;
    std::string body;
    /// True if the connection may serve another call.
    bool isReusable = false;

    bool isSuccess() const { return status >= 200 && status < 300; }
};

struct Request
{
    /// Names the operation in errors.
    std::string step;
    Method method = Method::Get;
    std::string target;
    /// Called at the last moment before each sending, so that moments relative to now stay true
    /// while a connection is being opened. May throw Core::NotDoneError. Empty for no body.
    std::function<std::string()> encodeBody;
    /// True if sending it twice has the effect of sending it once. Such a request is repeated once
    /// if the server had closed the pooled connection that it went out on.
    bool isIdempotent = false;
    /// The deadline is that of the answer's beginning: the rest may arrive later, for as long as
    /// it flows.
    bool isAnswerLong = false;
    /// Whether the call may take one of the connections that are kept free for essential calls.
    ConnectionBudget::Use connectionUse = ConnectionBudget::Use::Essential;
    std::string contentType = "application/json";
    std::vector<HeaderField> fields = {};
};

/// Calls to one HTTP/1.1 endpoint over a pool of keep-alive connections.
///
/// A connection serves one call at a time and is closed unless its answer was read whole, so an
/// answer never reaches another call than its own.
class Client
{
public:
    /// The largest answer body that is read, in bytes.
    static constexpr std::size_t maximumBodyBytes = 4 * 1024 * 1024;
    /// A long answer flows while at most this time passes between two parts of it, and counts as
    /// lost if it takes longer than the second.
    static constexpr Core::Duration longestPause = std::chrono::milliseconds(900);
    static constexpr Core::Duration longestFlow = std::chrono::seconds(15);
    /// How many calls may be under way at once; further ones fail at once.
    static constexpr std::size_t maximumConnections = 256;
    /// How many unused connections are kept.
    static constexpr std::size_t maximumIdleConnections = 16;

    /// A client with its own budget of maximumConnections.
    /// \throws Core::FormatError if the endpoint's address is no IP number.
    Client(const boost::asio::any_io_executor &executor, const Endpoint &endpoint);
    /// A client that shares \p budget with others, for which it counts as one peer.
    /// \throws Core::FormatError if the endpoint's address is no IP number.
    Client(const boost::asio::any_io_executor &executor, const Endpoint &endpoint,
           std::shared_ptr<ConnectionBudget> budget);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Returns the body of a 2xx answer. \p deadline bounds everything, connecting included.
    /// \throws Core::NotDoneError if nothing was sent, such as for want of a connection in the
    /// budget, or the answer is a refusal (4xx).
    /// \throws Core::OutcomeUnknownError if bytes were sent and no whole answer came, or one
    /// of another status.
    boost::asio::awaitable<std::string> call(Request request, Core::Instant deadline);

    /// Returns the answer whatever its status. \p deadline bounds everything.
    /// \throws Core::NotDoneError if nothing was sent, such as for want of a connection in the
    /// budget.
    /// \throws Core::OutcomeUnknownError if bytes were sent and no whole answer came.
    boost::asio::awaitable<Answer> exchange(Request request, Core::Instant deadline);

private:
    class Pool;
    std::shared_ptr<Pool> m_pool;
};

} // namespace Http
