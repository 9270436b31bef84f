#pragma once

#include "HttpMessages.h"
#include "Node.h"

#include <string>

namespace Daemon {

/// What operators see and change, over HTTP and JSON; `lagoonctl` is the usual client.
class AdminService
{
public:
    explicit AdminService(Node &node);

    HttpResponse status() const;
    HttpResponse showRules() const;
    /// Publishes a rules file and says truthfully what became of it, and where it is in force.
    boost::asio::awaitable<HttpResponse> publishRules(HttpRequest request);
    /// Records an operator's word that all witnesses of the failure domain's lease are gone.
    boost::asio::awaitable<HttpResponse> takeOver(HttpRequest request);

private:
    /// Waits until the record's fate is known, or the time is over.
    boost::asio::awaitable<Rules::PublishFate> awaitFate(std::string recordId,
                                                         Core::Instant deadline);
    /// Waits until every entry VM in reach has \p version in force; fills in who has and who
    /// hasn't.
    boost::asio::awaitable<void> awaitInForce(Rules::Version version, Json::Value &answer);

    Node &m_node;
};

} // namespace Daemon
