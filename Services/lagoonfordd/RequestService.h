#pragma once

#include "BackendConnection.h"
#include "Node.h"
#include "PendingRequest.h"

#include <LibRouting/RequestRouter.h>
#include <LibRouting/RouteAction.h>

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace Daemon {

/// Carries out the router's decisions: keeps the connections to the backend servers of the own
/// failure domain, sends attempts, passes requests on to other failure domains' doors, and hands
/// each caller its one final answer.
class RequestService
{
public:
    explicit RequestService(Node &node);

    /// Serves one request and returns the final answer.
    boost::asio::awaitable<HttpResponse> serve(Routing::RequestInfo info, HttpRequest request);
    /// Tells the router that nobody waits for the answer any more.
    void callerGone(const Core::RequestId &request);

    /// Hands the router the servers, shares, weights and other doors as they are now.
    void refresh(Core::Instant now);
    /// Lets the router act on the passing of time; returns when to be called again.
    Core::Instant onTimer(Core::Instant now);
    void beginLeaving();
    bool isIdle() const { return m_router.isIdle(); }

    /// Is woken when the router's next time may have come nearer.
    Supervision::Wakeup &wakeup() { return m_wakeup; }

private:
    using Connection = std::shared_ptr<BackendConnection>;
    using AttemptKey = std::pair<Core::RequestId, int>;

    void perform(const Routing::RouteActions &actions);
    /// Performs what follows from an event, and has the router's next time looked at again.
    void react(const Routing::RouteActions &actions);
    void perform(const Routing::Send &action);
    void perform(const Routing::Abandon &action);
    void perform(const Routing::CloseAbandoned &action);
    void perform(const Routing::SpillOver &action);
    void perform(const Routing::Finish &action);
    void perform(const Routing::ProbeServer &action);
    void perform(const Routing::DoubtConnections &action);
    void perform(const Routing::CloseIdleConnections &action);

    boost::asio::awaitable<void> runAttempt(Routing::Send action,
                                            std::shared_ptr<PendingRequest> pending);
    boost::asio::awaitable<void> runSpillOver(Routing::SpillOver action,
                                              std::shared_ptr<PendingRequest> pending);
    boost::asio::awaitable<void> runProbe(Routing::ProbeServer action);
    void finishAttempt(const Routing::Send &action, PendingRequest &pending,
                       const Connection &connection, ExchangeResult result);
    /// An idle connection that still works, or nothing.
    Connection takeIdle(const Core::VmId &server);
    void keepOrClose(const Connection &connection);
    void closeConnection(const Connection &connection, Routing::ConnectionEnd end);
    const Platform::VmEntry *findVm(const Core::VmId &id) const;
    /// A door of \p failureDomain that is in reach and isn't leaving.
    const Platform::VmEntry *findDoor(const Core::FailureDomainId &failureDomain) const;
    HttpRequest requestForServer(const PendingRequest &pending, const Core::VmId &server) const;
    HttpRequest requestForDoor(const PendingRequest &pending, Core::Instant deadline) const;
    HttpResponse finalAnswer(PendingRequest &pending);
    std::vector<Routing::BackendServerInfo> servers(Core::Instant now) const;
    std::vector<Routing::SpillOverOption> otherDoors(Core::Instant now) const;

    Node &m_node;
    Routing::RequestRouter m_router;
    Supervision::Wakeup m_wakeup;
    std::map<Core::RequestId, std::shared_ptr<PendingRequest>> m_pending;
    std::map<Core::VmId, std::deque<Connection>> m_idle;
    std::map<AttemptKey, Connection> m_inUse;
    /// Attempts whose answers are dropped when they come.
    std::set<AttemptKey> m_abandoned;
    /// Connections opened before this instant are closed instead of being used again.
    std::map<Core::VmId, Core::Instant> m_doubtedBefore;
    /// Requests in progress, averaged over some seconds.
    double m_demand = 0;
    /// Next to be tried among the doors of another failure domain.
    mutable std::size_t m_nextDoor = 0;
};

} // namespace Daemon
