#pragma once

#include "HttpMessages.h"
#include "Node.h"

#include <LibTask/TaskRecord.h>

#include <optional>
#include <string>

namespace Daemon {

/// Jobs over HTTP: submit, look up, cancel. A submission is acknowledged after it stands in the
/// log.
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

    /// Answers peers: what this failure domain knows of the task, or null.
    Json::Value onFind(const Json::Value &parameters) const;
    /// Answers peers: how many tasks are in each state here.
    Json::Value onList() const;

private:
    boost::asio::awaitable<HttpResponse> append(Core::FailureDomainId failureDomain,
                                                Task::TaskRecord record, std::string what,
                                                Json::Value success);
    /// Looks here, then in the other failure domains; null if nobody knows the task.
    boost::asio::awaitable<Json::Value> findAnywhere(Core::TaskId task);
    /// Where a new task goes; empty if it may run nowhere now. It follows from the task's id and
    /// the rules alone, so that a repetition at another entry VM goes to the same stream.
    Core::FailureDomainId chooseDomain(const Task::TaskSpec &spec) const;
    /// Why no worker where the task may run could ever take it; empty if one could.
    std::string reasonNeverFits(const Task::TaskSpec &spec) const;
    Json::Value describe(const Core::TaskId &task) const;

    Node &m_node;
};

} // namespace Daemon
