#include <utility>

#include "CallerServer.h"

#include <LibLog/Logging.h>

#include <LibCore/Error.h>
#include <LibCore/SteadyClock.h>
#include <LibCore/TextValues.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <exception>

namespace Daemon {

namespace asio = boost::asio;
namespace http = boost::beast::http;

static constexpr std::size_t mostHeaderBytes = 16 * 1024;
static constexpr std::int64_t longestDeadlineMs = 600'000;
static constexpr const char *defaultTeam = "unnamed";
static const auto partLogger = Log::logger("api");

CallerServer::CallerServer(Node &node, RequestService &requests, KeyService &keys, JobService &jobs,
                           AdminService &admin)
    : m_node(node)
    , m_requests(requests)
    , m_keys(keys)
    , m_jobs(jobs)
    , m_admin(admin)
    , m_changed(node.executor())
{
}

asio::awaitable<void> CallerServer::run()
{
    m_isStopping = false;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_node.settings().address),
                                           m_node.settings().callerPort);
    m_acceptor = std::make_unique<asio::ip::tcp::acceptor>(m_node.executor(), endpoint);
    LOG4CXX_INFO(partLogger, "listens on port " << endpoint.port());
    co_await accept();
    const auto idle = std::move(m_idle);
    m_idle.clear();
    for (const auto &socket : idle) {
        boost::system::error_code ignored;
        socket->close(ignored);
    }
    const Core::Instant deadline = Core::steadyNow() + m_node.settings().drainTime;
    while (m_inProgress > 0 && Core::steadyNow() < deadline)
        co_await m_changed.sleepUntil(deadline);
    LOG4CXX_INFO(partLogger, "closed with " << m_inProgress << " requests in progress");
}

void CallerServer::requestStop()
{
    m_isStopping = true;
    boost::system::error_code ignored;
    if (m_acceptor)
        m_acceptor->close(ignored);
    m_changed.wake();
}

asio::awaitable<void> CallerServer::accept()
{
    while (!m_isStopping) {
        const auto socket = std::make_shared<Socket>(m_node.executor());
        boost::system::error_code error;
        co_await m_acceptor->async_accept(*socket,
                                          asio::redirect_error(asio::use_awaitable, error));
        if (m_isStopping)
            co_return;
        if (error)
            throw Core::Error("accept", "door", error.message());
        socket->set_option(asio::ip::tcp::no_delay(true), error);
        asio::co_spawn(m_node.executor(), serveConnection(socket), asio::detached);
    }
}

asio::awaitable<void> CallerServer::serveConnection(std::shared_ptr<Socket> socket)
{
    boost::beast::flat_buffer buffer;
    bool isKeptAlive = true;
    while (isKeptAlive && !m_isStopping) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(static_cast<std::uint64_t>(m_node.settings().largestBodyBytes));
        parser.header_limit(mostHeaderBytes);
        boost::system::error_code error;
        m_idle.insert(socket);
        co_await http::async_read_header(*socket, buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, error));
        m_idle.erase(socket);
        if (error)
            co_return;
        ++m_inProgress;
        co_await http::async_read(*socket, buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            const bool wantsKeepAlive = parser.keep_alive();
            HttpResponse response = co_await answer(parser.release(), socket);
            isKeptAlive = wantsKeepAlive && !m_isStopping && !m_node.isLeaving();
            response.keep_alive(isKeptAlive);
            co_await http::async_write(*socket, response,
                                       asio::redirect_error(asio::use_awaitable, error));
        }
        --m_inProgress;
        m_changed.wake();
        if (error)
            co_return;
    }
    boost::system::error_code ignored;
    socket->shutdown(Socket::shutdown_send, ignored);
}

asio::awaitable<HttpResponse> CallerServer::answer(HttpRequest request,
                                                   std::shared_ptr<Socket> socket)
{
    const std::string target(request.target());
    std::string failure;
    try {
        if (target == "/healthz")
            co_return health();
        if (target == "/metrics")
            co_return textResponse(http::status::ok, m_node.metrics().text());
        if (target == "/jobs" || target.starts_with("/jobs/"))
            co_return co_await answerJobs(std::move(request));
        if (target.starts_with("/admin/"))
            co_return co_await answerAdmin(std::move(request));
        if (target == "/service" || target.starts_with("/service/"))
            co_return co_await answerService(std::move(request), std::move(socket));
        co_return errorResponse(http::status::not_found, "there is no such path");
    } catch (const std::exception &exception) {
        // A request that can't be answered must not end the process.
        failure = exception.what();
    }
    LOG4CXX_ERROR(partLogger, failure);
    co_return errorResponse(http::status::internal_server_error, failure);
}

asio::awaitable<HttpResponse> CallerServer::answerJobs(HttpRequest request)
{
    const std::string target(request.target());
    const bool isCollection = target == "/jobs";
    if (isCollection && request.method() == http::verb::post)
        co_return co_await m_jobs.submit(std::move(request));
    if (isCollection && request.method() == http::verb::get)
        co_return co_await m_jobs.list();
    const std::string id = isCollection ? "" : target.substr(std::string("/jobs/").size());
    if (!Core::isName(id))
        co_return errorResponse(http::status::bad_request, "the path must end with a job's id");
    if (request.method() == http::verb::get)
        co_return co_await m_jobs.find(Core::TaskId(id));
    if (request.method() == http::verb::delete_)
        co_return co_await m_jobs.cancel(Core::TaskId(id));
    co_return errorResponse(http::status::method_not_allowed, "allowed: GET, POST, DELETE");
}

asio::awaitable<HttpResponse> CallerServer::answerAdmin(HttpRequest request)
{
    const std::string target(request.target());
    const bool isGet = request.method() == http::verb::get;
    if (target == "/admin/status" && isGet)
        co_return m_admin.status();
    if (target == "/admin/rules" && isGet)
        co_return m_admin.showRules();
    if (target == "/admin/rules" && request.method() == http::verb::post)
        co_return co_await m_admin.publishRules(std::move(request));
    if (target == "/admin/takeover" && request.method() == http::verb::post)
        co_return co_await m_admin.takeOver(std::move(request));
    co_return errorResponse(http::status::not_found, "there is no such path");
}

Routing::RequestInfo CallerServer::describe(const HttpRequest &request) const
{
    Routing::RequestInfo info;
    const std::string callersId = fieldText(request.base(), Field::requestId);
    const std::string prefix = Core::isName(callersId) ? callersId : "request";
    // Callers may use an ID twice; the router needs unique ones.
    info.id = Core::RequestId(m_node.makeId(prefix));
    const std::string team = fieldText(request.base(), Field::team);
    info.team = Core::TeamId(Core::isName(team) ? team : defaultTeam);
    const http::verb method = request.method();
    info.isIdempotent = method == http::verb::get || method == http::verb::head
        || method == http::verb::put || method == http::verb::delete_
        || method == http::verb::options || fieldText(request.base(), Field::idempotent) == "yes";
    info.key = fieldText(request.base(), Field::key);
    info.arrivedAt = Core::steadyNow();
    const auto deadlineMs
        = Core::parseNumber(fieldText(request.base(), Field::deadlineMs), 1, longestDeadlineMs);
    info.deadline = info.arrivedAt
        + (deadlineMs ? Core::Duration(std::chrono::milliseconds(*deadlineMs))
                      : m_node.settings().defaultDeadline);
    info.isSpilledOver = !fieldText(request.base(), Field::spilled).empty();
    return info;
}

asio::awaitable<HttpResponse> CallerServer::answerService(HttpRequest request,
                                                          std::shared_ptr<Socket> socket)
{
    Routing::RequestInfo info = describe(request);
    watchCaller(socket, info.id);
    if (!info.key.empty() && !info.isIdempotent)
        co_return co_await answerKeyed(std::move(info), std::move(request));
    co_return co_await m_requests.serve(std::move(info), std::move(request));
}

asio::awaitable<HttpResponse> CallerServer::answerKeyed(Routing::RequestInfo info,
                                                        HttpRequest request)
{
    const KeyBegin begin { info.team, info.key, info.id, issueTimeOf(info.key) };
    const Routing::KeyDecision decision = co_await m_keys.begin(begin, info.deadline);
    if (const auto *known = std::get_if<Routing::Known>(&decision)) {
        if (known->outcome.mayHaveRun)
            co_return unknownResponse("the first request with this key has an unknown outcome");
        HttpResponse response
            = textResponse(http::int_to_status(known->outcome.status), known->outcome.answer);
        response.set(Field::outcome, "answered");
        co_return response;
    }
    if (const auto *refused = std::get_if<Routing::RefusedMayHaveRun>(&decision))
        co_return unknownResponse(refused->reason);
    if (std::holds_alternative<Routing::InProgress>(decision))
        co_return notRunResponse("a request with this key is in progress", std::chrono::seconds(1));
    if (const auto *refused = std::get_if<Routing::RefusedKey>(&decision))
        co_return notRunResponse(refused->reason, std::chrono::seconds(1));

    HttpResponse response = co_await m_requests.serve(std::move(info), std::move(request));
    KeyFinish finish { begin.team, begin.key, begin.request, std::nullopt };
    const std::string outcome = fieldText(response.base(), Field::outcome);
    if (outcome == "unknown")
        finish.outcome = Routing::StoredOutcome { 0, "", true };
    else if (outcome == "answered")
        finish.outcome = Routing::StoredOutcome { static_cast<int>(response.result_int()),
                                                  response.body(), false };
    asio::co_spawn(m_node.executor(), m_keys.finish(std::move(finish)), asio::detached);
    co_return response;
}

void CallerServer::watchCaller(const std::shared_ptr<Socket> &socket,
                               const Core::RequestId &request)
{
    // A socket that is readable without bytes to read has been closed by the caller.
    socket->async_wait(
        Socket::wait_read, [this, socket, request](const boost::system::error_code &failure) {
            if (failure)
                return;
            boost::system::error_code error;
            char byte = 0;
            socket->non_blocking(true, error);
            socket->receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
            if (error && error != asio::error::would_block)
                m_requests.onCallerGone(request);
        });
}

HttpResponse CallerServer::health() const
{
    if (m_node.isLeaving())
        return textResponse(http::status::service_unavailable, "leaving\n");
    if (!m_node.isReady(Core::steadyNow()))
        return textResponse(http::status::service_unavailable, "not ready\n");
    return textResponse(http::status::ok, "live\n");
}

} // namespace Daemon
