#include "LoopbackWorkers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

/// The address of the first worker; the others follow it.
static constexpr std::uint32_t firstAddress = 0x7F'01'00'01;
static constexpr int backlog = 16'384;
static constexpr const char *emptyReport = R"({"clockMs":1,"born":1,"running":[],"ended":[]})";

LoopbackWorkers::LoopbackWorkers(asio::io_context &context)
    : m_acceptor(context)
    , m_body(emptyReport)
{
    const tcp::endpoint anyAddress(asio::ip::address_v4::any(), 0);
    m_acceptor.open(anyAddress.protocol());
    m_acceptor.bind(anyAddress);
    m_acceptor.listen(backlog);
    asio::co_spawn(context, accept(), asio::detached);
}

std::string LoopbackWorkers::address(std::size_t index) const
{
    const asio::ip::address_v4 ip(firstAddress + static_cast<std::uint32_t>(index));
    return ip.to_string() + ':' + std::to_string(m_acceptor.local_endpoint().port());
}

bool LoopbackWorkers::isSilent(const asio::ip::address &address) const
{
    const std::size_t index = address.to_v4().to_uint() - firstAddress;
    return m_silentInterval != 0 && index % m_silentInterval == 0;
}

std::size_t LoopbackWorkers::openConnections() const
{
    const std::uint16_t port = m_acceptor.local_endpoint().port();
    rlimit limit {};
    getrlimit(RLIMIT_NOFILE, &limit);
    std::size_t count = 0;
    for (int descriptor = 0; descriptor < static_cast<int>(limit.rlim_cur); ++descriptor) {
        sockaddr_in peer {};
        socklen_t size = sizeof(peer);
        // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
        if (getpeername(descriptor, reinterpret_cast<sockaddr *>(&peer), &size) != 0)
            continue;
        if (peer.sin_family == AF_INET && ntohs(peer.sin_port) == port)
            ++count;
    }
    return count;
}

asio::awaitable<void> LoopbackWorkers::accept()
{
    while (true) {
        tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
        asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> LoopbackWorkers::serve(tcp::socket socket)
{
    const asio::ip::address address = socket.local_endpoint().address();
    boost::beast::flat_buffer buffer;
    error_code error;
    while (!error) {
        http::request<http::string_body> request;
        co_await http::async_read(socket, buffer, request,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (error || isSilent(address))
            continue;
        http::response<http::string_body> response(http::status::ok, 11);
        if (m_status != 0)
            response.result(m_status);
        else
            response.body() = m_body;
        response.prepare_payload();
        co_await http::async_write(socket, response,
                                   asio::redirect_error(asio::use_awaitable, error));
    }
}
