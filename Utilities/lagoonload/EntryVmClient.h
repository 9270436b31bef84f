#pragma once

#include <LibCore/Time.h>

#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Load {

struct EntryVmRequest
{
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct EntryVmResponse
{
    unsigned status = 0;
    /// Value of the header `Lagoonford-Outcome`; empty if absent.
    std::string outcome;
    /// Value of the header `Retry-After`.
    Core::Duration retryAfter {};
    std::string body;
};

/// Sends HTTP requests to the callers' port of one entry VM over keep-alive connections.
class EntryVmClient
{
public:
    EntryVmClient(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint endpoint);
    ~EntryVmClient();
    EntryVmClient(const EntryVmClient &) = delete;
    EntryVmClient &operator=(const EntryVmClient &) = delete;

    /// \throws Core::NotDoneError if nothing was sent.
    /// \throws Core::OutcomeUnknownError if no complete response arrived before \p deadline.
    boost::asio::awaitable<EntryVmResponse> call(EntryVmRequest request, Core::Instant deadline);

    const boost::asio::ip::tcp::endpoint &endpoint() const { return m_endpoint; }

private:
    struct Connection;

    std::unique_ptr<Connection> takeIdle();
    boost::asio::awaitable<void> send(Connection &connection, const EntryVmRequest &request);
    boost::asio::awaitable<EntryVmResponse> receive(std::unique_ptr<Connection> connection);
    std::string name() const;

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::vector<std::unique_ptr<Connection>> m_idle;
};

} // namespace Load
