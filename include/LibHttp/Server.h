#pragma once

#include <LibCore/Time.h>
#include <LibHttp/Endpoint.h>
#include <LibHttp/MemoryBudget.h>
#include <LibSupervision/Part.h>
#include <LibSupervision/Wakeup.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace Http {

using ServerRequest = boost::beast::http::request<boost::beast::http::string_body>;
using ServerResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// Limits on the size and duration of requests.
struct ServerLimits
{
    std::uint32_t headerBytes = 16 * 1024;
    std::size_t headerFields = 100;
    std::uint64_t bodyBytes = 256 * 1024;
    Core::Duration receiveTime = std::chrono::seconds(3);
    Core::Duration idleTime = std::chrono::seconds(15);
    std::size_t connections = 2000;

    auto operator<=>(const ServerLimits &) const = default;
};

/// Answers the requests that a Server has read.
class RequestHandler
{
public:
    RequestHandler() = default;
    RequestHandler(const RequestHandler &) = delete;
    RequestHandler &operator=(const RequestHandler &) = delete;
    virtual ~RequestHandler() = default;

    /// If it throws, the client gets status 500.
    virtual boost::asio::awaitable<ServerResponse> answer(ServerRequest request) = 0;
    /// The limits for the next request.
    virtual ServerLimits limits() const { return {}; }
};

/// A response with a JSON body, or with none if \p body is empty.
ServerResponse makeResponse(unsigned status, const std::string &body);

/// An HTTP/1.1 server on one address.
class Server final : public Supervision::Part
{
public:
    /// \p maxConnections limits the open connections even if the handler allows more. \p budget is
    /// shared by the servers of a process; without one, the server has its own.
    Server(std::string name, const Endpoint &endpoint, RequestHandler &handler,
           const boost::asio::any_io_executor &executor,
           std::size_t maxConnections = ServerLimits().connections,
           std::shared_ptr<MemoryBudget> budget = nullptr);

    std::string name() const override { return m_name; }
    boost::asio::awaitable<void> run() override;
    /// Stops accepting, closes idle connections, and lets requests in progress finish.
    void requestStop() override;
    /// From now on answers ask clients to close their connections.
    void beginLeaving() { m_isLeaving = true; }

    std::size_t inProgress() const { return m_inProgress; }

private:
    using Stream = boost::beast::tcp_stream;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(std::shared_ptr<Stream> stream);
    /// Serves one request. Returns false when the connection has ended.
    boost::asio::awaitable<bool> serveOne(Stream &stream, boost::beast::flat_buffer &buffer,
                                          MemoryBudget::Connection &connection);
    boost::asio::awaitable<ServerResponse> answer(ServerRequest request);

    std::string m_name;
    Endpoint m_endpoint;
    RequestHandler &m_handler;
    boost::asio::any_io_executor m_executor;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::size_t m_maxConnections;
    std::shared_ptr<MemoryBudget::Group> m_connections;
    std::set<Stream *> m_idle;
    std::size_t m_inProgress = 0;
    Supervision::Wakeup m_changed;
    bool m_isStopping = false;
    bool m_isLeaving = false;
};

} // namespace Http
