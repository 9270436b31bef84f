#pragma once

#include "HttpMessages.h"
#include "Node.h"

#include <string>

namespace Daemon {

/// Serves the operators' interface (HTTP with JSON bodies); its usual client is `lagoonctl`.
class AdminService
{
public:
    explicit AdminService(Node &node);

    HttpResponse status() const;
    HttpResponse showRules() const;
    /// Publishes a rules file. The answer says whether it was recorded, and which entry VMs have it
    /// in force.
    boost::asio::awaitable<HttpResponse> publishRules(HttpRequest request);
    /// Records an operator's confirmation that all witnesses of the failure domain's lease are
    /// gone, so that a new VM may claim the lease.
    boost::asio::awaitable<HttpResponse> takeOver(HttpRequest request);

private:
    /// Waits until it is known whether the record was appended, or until the deadline.
    boost::asio::awaitable<Rules::PublishOutcome> awaitOutcome(std::string recordId,
                                                               Core::Instant deadline);
    /// Waits until every reachable entry VM has \p version in force. Adds to the answer which ones
    /// have and which don't.
    boost::asio::awaitable<void> awaitInForce(Rules::Version version, Json::Value &answer);

    Node &m_node;
};

} // namespace Daemon
