#include "FakePeer.h"

#include <LibCore/Json.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace asio = boost::asio;

FakePeer::FakePeer(asio::io_context &context, ResponseScript script)
    : m_acceptor(context, { asio::ip::address_v4::loopback(), 0 })
    , m_responseScript(std::move(script))
{
    asio::co_spawn(
        context, [this] { return acceptConnections(); }, asio::detached);
}

asio::awaitable<void> FakePeer::acceptConnections()
{
    while (true) {
        asio::ip::tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
        ++m_connectionCount;
        asio::co_spawn(m_acceptor.get_executor(), serve(std::move(socket), m_connectionCount),
                       asio::detached);
    }
}

asio::awaitable<void> FakePeer::serve(asio::ip::tcp::socket socket, int number)
{
    if (!isReading) {
        asio::steady_timer never(socket.get_executor(), asio::steady_timer::time_point::max());
        co_await never.async_wait(asio::use_awaitable);
    }
    std::string received;
    while (true) {
        const std::size_t length = co_await asio::async_read_until(
            socket, asio::dynamic_buffer(received), '\n', asio::use_awaitable);
        const Json::Value request = Core::Json::parse(received.substr(0, length), "test");
        received.erase(0, length);
        const std::string bytes = m_responseScript(number, request);
        co_await asio::async_write(socket, asio::buffer(bytes), asio::use_awaitable);
    }
}

std::string responseTo(const Json::Value &request, const Json::Value &result)
{
    Json::Value response;
    response["jsonrpc"] = "2.0";
    response["id"] = request["id"];
    response["result"] = result;
    return Core::Json::write(response) + '\n';
}
