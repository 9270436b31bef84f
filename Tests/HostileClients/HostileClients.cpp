#include "HostileClients.h"

#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <thread>

namespace asio = boost::asio;
namespace http = boost::beast::http;

HostileClients::HostileClients(const asio::ip::tcp::endpoint &endpoint, std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        boost::system::error_code ignored;
        asio::ip::tcp::socket socket(m_context);
        socket.connect(endpoint, ignored);
        socket.non_blocking(true, ignored);
        m_sockets.push_back(std::move(socket));
    }
}

void HostileClients::send(const std::string &bytes, std::chrono::milliseconds time)
{
    constexpr std::size_t partBytes = 16 * 1024;
    constexpr std::chrono::milliseconds pause(2);
    const auto end = std::chrono::steady_clock::now() + time;
    std::vector<std::size_t> sentBytes(m_sockets.size());
    bool isComplete = false;
    while (!isComplete && std::chrono::steady_clock::now() < end) {
        isComplete = true;
        for (std::size_t i = 0; i < m_sockets.size(); ++i) {
            const std::size_t rest = std::min(partBytes, bytes.size() - sentBytes[i]);
            boost::system::error_code error;
            const auto part = asio::buffer(bytes.data() + sentBytes[i], rest);
            sentBytes[i] += m_sockets[i].send(part, MSG_NOSIGNAL, error);
            if (error && error != asio::error::would_block)
                sentBytes[i] = bytes.size();
            isComplete = isComplete && sentBytes[i] == bytes.size();
        }
        std::this_thread::sleep_for(pause);
    }
}

unsigned requestStatus(const asio::ip::tcp::endpoint &endpoint, const std::string &method,
                       const std::string &target, const std::string &body)
{
    asio::io_context context;
    boost::beast::tcp_stream stream(context);
    stream.expires_after(std::chrono::seconds(2));
    http::request<http::string_body> request(http::string_to_verb(method), target, 11);
    request.set(http::field::host, "test.example");
    request.body() = body;
    request.prepare_payload();
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    unsigned status = 0;
    stream.async_connect(endpoint, [&](boost::system::error_code connectError) {
        if (connectError)
            return;
        http::async_write(stream, request, [&](boost::system::error_code writeError, std::size_t) {
            if (writeError)
                return;
            http::async_read(stream, buffer, response,
                             [&](boost::system::error_code error, std::size_t) {
                                 if (!error)
                                     status = response.result_int();
                             });
        });
    });
    context.run();
    return status;
}
