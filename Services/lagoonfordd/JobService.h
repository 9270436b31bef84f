#pragma once

#include "HttpMessages.h"
#include "Node.h"

#include <LibTask/TaskRecord.h>

#include <optional>
#include <string>

namespace Daemon {

/// Serves jobs over HTTP: submission, look-up and cancellation. A submission is acknowledged once
/// its record is in the log.
class JobService
{
public:
    static constexpr const char *findMethodName = "jobs.find";
    static constexpr const char *listMethodName = "jobs.list";

    explicit JobService(Node &node);

    boost::asio::awaitable<HttpResponse> submit(HttpRequest request);
    boost::asio::awaitable<HttpResponse> find(Core::TaskId task);
    boost::asio::awaitable<HttpResponse> cancel(Core::TaskId task);
    boost::asio::awaitable<HttpResponse> list();

    /// Handles a peer's call: returns what this failure domain knows of the task; null if nothing.
    Json::Value onFind(const Json::Value &parameters) const;
    /// Handles a peer's call: returns the number of tasks in each state in this failure domain.
    Json::Value onList() const;

private:
    boost::asio::awaitable<HttpResponse> append(Core::FailureDomainId failureDomain,
                                                Task::TaskRecord record, std::string what,
                                                Json::Value success);
    /// Looks for the task in this failure domain, then in the others; null if none knows it.
    boost::asio::awaitable<Json::Value> findAnywhere(Core::TaskId task);
    /// Returns the failure domain that gets a new task; empty if the task may run in none now.
    /// Depends only on the task's ID and the rules, so that a repeated submission at another entry
    /// VM goes to the same stream.
    Core::FailureDomainId chooseDomain(const Task::TaskSpec &spec) const;
    /// Returns why the task fits on no worker of the failure domains where it may run; empty if it
    /// fits on one.
    std::string reasonNeverFits(const Task::TaskSpec &spec) const;
    Json::Value describe(const Core::TaskId &task) const;

    Node &m_node;
};

} // namespace Daemon
