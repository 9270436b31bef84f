#pragma once

#include "AdminService.h"
#include "HttpMessages.h"
#include "JobService.h"
#include "KeyService.h"
#include "RequestService.h"

#include <LibSupervision/Part.h>

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <memory>
#include <set>
#include <string>

namespace Daemon {

/// The HTTP server for callers, the load balancer and operators.
class CallerServer final : public Supervision::Part
{
public:
    CallerServer(Node &node, RequestService &requests, KeyService &keys, JobService &jobs,
                 AdminService &admin);

    std::string name() const override { return "door"; }
    boost::asio::awaitable<void> run() override;
    /// Stops accepting connections; requests in progress are finished.
    void requestStop() override;

private:
    using Socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serveConnection(std::shared_ptr<Socket> socket);
    boost::asio::awaitable<HttpResponse> answer(HttpRequest request,
                                                std::shared_ptr<Socket> socket);
    boost::asio::awaitable<HttpResponse> answerJobs(HttpRequest request);
    boost::asio::awaitable<HttpResponse> answerAdmin(HttpRequest request);
    boost::asio::awaitable<HttpResponse> answerService(HttpRequest request,
                                                       std::shared_ptr<Socket> socket);
    /// Runs a request that has an idempotency key at most once. A repeated request gets the answer
    /// of the first.
    boost::asio::awaitable<HttpResponse> answerKeyed(Routing::RequestInfo info,
                                                     HttpRequest request);
    void watchCaller(const std::shared_ptr<Socket> &socket, const Core::RequestId &request);
    HttpResponse health() const;
    Routing::RequestInfo describe(const HttpRequest &request) const;

    Node &m_node;
    RequestService &m_requests;
    KeyService &m_keys;
    JobService &m_jobs;
    AdminService &m_admin;
    std::unique_ptr<boost::asio::ip::tcp::acceptor> m_acceptor;
    /// Connections without a request in progress, which are closed when the server stops.
    std::set<std::shared_ptr<Socket>> m_idle;
    std::size_t m_inProgress = 0;
    Supervision::Wakeup m_changed;
    bool m_isStopping = false;
};

} // namespace Daemon
