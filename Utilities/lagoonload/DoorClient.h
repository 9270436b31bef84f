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

struct DoorRequest
{
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct DoorAnswer
{
    unsigned status = 0;
    /// The value of the header `Lagoonford-Outcome`; empty if there is none.
    std::string outcome;
    /// From the header `Retry-After`.
    Core::Duration retryAfter {};
    std::string body;
};

/// Calls to one entry VM's door over keep-alive connections.
class DoorClient
{
public:
    DoorClient(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint endpoint);
    ~DoorClient();
    DoorClient(const DoorClient &) = delete;
    DoorClient &operator=(const DoorClient &) = delete;

    /// \throws Core::NotDoneError if nothing was sent.
    /// \throws Core::OutcomeUnknownError if no whole answer came before \p deadline.
    boost::asio::awaitable<DoorAnswer> call(DoorRequest request, Core::Instant deadline);

    const boost::asio::ip::tcp::endpoint &endpoint() const { return m_endpoint; }

private:
    struct Connection;

    std::unique_ptr<Connection> takeIdle();
    boost::asio::awaitable<void> send(Connection &connection, const DoorRequest &request);
    boost::asio::awaitable<DoorAnswer> receive(std::unique_ptr<Connection> connection);
    std::string name() const;

    boost::asio::any_io_executor m_executor;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::vector<std::unique_ptr<Connection>> m_idle;
};

} // namespace Load
