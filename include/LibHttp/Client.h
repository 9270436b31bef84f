#pragma once

#include <LibCore/Time.h>
#include <LibHttp/ConnectionBudget.h>
#include <LibHttp/DeadlineWatch.h>
#include <LibHttp/Endpoint.h>

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Http {

enum class Method {
    Get,
    Post,
};

struct HeaderField
{
    /// Refers to a constant.
    std::string_view name;
    std::string value;

    bool operator==(const HeaderField &) const = default;
};

/// Numbers the connections that a client opens, from 1. A connection ends with the server process
/// that accepted it, so two answers on one connection come from the same process.
using ConnectionNumber = std::uint64_t;

/// A complete response of any status.
struct Answer
{
    unsigned status = 0;
    std::string body;
    ConnectionNumber connection = 0;
    /// True if the connection may serve another call.
    bool isReusable = false;

    bool isSuccess() const { return status >= 200 && status < 300; }
};

/// Tells apart the server processes that follow one another at an endpoint. The caller chooses the
/// numbers.
using ServerProcess = std::int64_t;

struct Request
{
    /// Names the operation in errors.
    std::string step;
    Method method = Method::Get;
    std::string target;
    /// Called immediately before each transmission, so that times relative to now are still correct
    /// after a connection was opened. May throw Core::NotDoneError. Empty for no body.
    std::function<std::string()> encodeBody;
    /// True if sending it twice has the effect of sending it once. Such a request is retried once
    /// if the server had closed the pooled connection on which it was sent.
    bool isIdempotent = false;
    /// The request is sent on a connection on which this process has been seen to answer, or not at
    /// all; it isn't retried on another one. See Client::noteProcess().
    std::optional<ServerProcess> requiredProcess = {};
    /// The deadline applies to the start of the answer; the rest may arrive later, within the
    /// limits `longestPause` and `longestFlow`.
    bool isAnswerLong = false;
    /// Whether the call may use the connections that are reserved for essential calls.
    ConnectionBudget::Use connectionUse = ConnectionBudget::Use::Essential;
    /// Refers to a constant.
    std::string_view contentType = "application/json";
    std::vector<HeaderField> fields = {};
};

/// Calls to one HTTP/1.1 endpoint over a pool of keep-alive connections.
///
/// A connection serves one call at a time and is closed unless its answer was read completely, so
/// that no call receives the answer of another one.
class Client
{
public:
    /// The largest answer body that is read, in bytes.
    static constexpr std::size_t maximumBodyBytes = 4 * 1024 * 1024;
    /// A long answer is abandoned if more than `longestPause` passes between two parts of it, or if
    /// it takes longer than `longestFlow`.
    static constexpr Core::Duration longestPause = std::chrono::milliseconds(900);
    static constexpr Core::Duration longestFlow = std::chrono::seconds(15);
    /// The maximum number of concurrent calls; further ones fail immediately.
    static constexpr std::size_t maximumConnections = 256;
    /// The maximum number of idle connections that are kept.
    static constexpr std::size_t maximumIdleConnections = 16;

    /// A client with its own budget of maximumConnections.
    /// \throws Core::FormatError if the endpoint's address isn't an IP address.
    Client(const boost::asio::any_io_executor &executor, const Endpoint &endpoint);
    /// A client that shares \p budget with others, for which it counts as one peer, and \p watch.
    /// \throws Core::FormatError if the endpoint's address isn't an IP address.
    Client(const boost::asio::any_io_executor &executor, const Endpoint &endpoint,
           std::shared_ptr<ConnectionBudget> budget, std::shared_ptr<DeadlineWatch> watch);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Returns the body of a 2xx answer. \p deadline bounds the whole call, connecting included.
    /// \throws Core::NotDoneError if nothing was sent, for example because the connection budget
    /// was exhausted, or if the answer is a refusal (4xx). \throws Core::OutcomeUnknownError if
    /// bytes were sent and no complete answer arrived, or one of another status.
    boost::asio::awaitable<std::string> call(Request request, Core::Instant deadline);

    /// Returns the answer of any status. \p deadline bounds the whole call.
    /// \throws Core::NotDoneError if nothing was sent, for example because the connection budget
    /// was exhausted, or because no connection to the required process is idle. \throws
    /// Core::OutcomeUnknownError if bytes were sent and no complete answer arrived.
    boost::asio::awaitable<Answer> exchange(Request request, Core::Instant deadline);

    /// An answer on this connection has shown which process the server is. The former ones have
    /// ended, so idle connections to them are closed. A connection that isn't idle any more is left
    /// alone.
    void noteProcess(ConnectionNumber connection, ServerProcess process);
    /// True if a request that requires the process can be sent now.
    bool hasIdleConnectionTo(ServerProcess process) const;

private:
    class Pool;
    std::shared_ptr<Pool> m_pool;
};

} // namespace Http
