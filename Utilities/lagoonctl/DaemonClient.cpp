#include <utility>

#include "DaemonClient.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <chrono>
#include <exception>
#include <optional>

namespace Control {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Exceeds the time within which a daemon reports the outcome of a change.
static constexpr std::chrono::seconds patience(15);

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

namespace {

/// Distinguishes errors by whether bytes of the request may have been sent.
struct CallFailure
{
    bool isSent = false;
    std::string reason;
};

asio::awaitable<std::optional<CallFailure>> exchange(asio::ip::tcp::endpoint endpoint,
                                                     const Request &request, Response &response)
{
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(patience);
    boost::system::error_code error;
    co_await stream.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return CallFailure { false, error.message() };
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    beast::flat_buffer buffer;
    if (!error)
        co_await http::async_read(stream, buffer, response,
                                  asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return CallFailure { true, error.message() };
    co_return std::nullopt;
}

} // namespace

DaemonClient::DaemonClient(std::string address, std::uint16_t port)
    : m_address(std::move(address))
    , m_port(port)
{
}

DaemonAnswer DaemonClient::get(const std::string &target) const
{
    return call("GET", target, {});
}

DaemonAnswer DaemonClient::post(const std::string &target, const Json::Value &body) const
{
    return call("POST", target, Core::Json::write(body));
}

DaemonAnswer DaemonClient::remove(const std::string &target) const
{
    return call("DELETE", target, {});
}

std::string DaemonClient::peerName() const
{
    return m_address + ':' + std::to_string(m_port);
}

DaemonAnswer DaemonClient::call(const std::string &method, const std::string &target,
                                const std::string &body) const
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(m_address, error);
    if (error)
        throw Core::NotDoneError(method + ' ' + target, peerName(), "the address is no IP number");
    Request request(http::string_to_verb(method), target, 11);
    request.set(http::field::host, peerName());
    request.keep_alive(false);
    request.body() = body;
    request.prepare_payload();

    Response response;
    std::optional<CallFailure> failure;
    asio::io_context context;
    asio::co_spawn(context, exchange({ address, m_port }, request, response),
                   [&](const std::exception_ptr &, std::optional<CallFailure> result) {
                       failure = std::move(result);
                   });
    context.run();
    if (failure && failure->isSent)
        throw Core::OutcomeUnknownError(method + ' ' + target, peerName(), failure->reason);
    if (failure)
        throw Core::NotDoneError(method + ' ' + target, peerName(), failure->reason);

    DaemonAnswer answer;
    answer.status = response.result_int();
    answer.outcome = std::string(response["Lagoonford-Outcome"]);
    if (response[http::field::content_type] == "application/json")
        answer.body = Core::Json::parse(response.body(), peerName());
    return answer;
}

} // namespace Control
