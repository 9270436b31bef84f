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

/// Carries out the router's decisions: keeps the connections to the backend servers of this failure
/// domain, sends attempts, forwards requests to entry VMs of other failure domains, and returns one
/// final answer to each caller.
class RequestService
{
public:
    explicit RequestService(Node &node);

    /// Serves one request and returns the final answer.
    boost::asio::awaitable<HttpResponse> serve(Routing::RequestInfo info, HttpRequest request);
    /// Tells the router that the caller has closed its connection.
    void onCallerGone(const Core::RequestId &request);

    /// Passes the current servers, slot shares, weights and spill-over options to the router.
    void refresh(Core::Instant now);
    /// Runs the router's due timers. Returns when to call this again.
    Core::Instant onTimer(Core::Instant now);
    void beginLeaving();
    bool isIdle() const { return m_router.isIdle(); }

    /// Is woken when the router's next timer may be due earlier than before.
    Supervision::Wakeup &wakeup() { return m_wakeup; }

private:
    using Connection = std::shared_ptr<BackendConnection>;
    using AttemptKey = std::pair<Core::RequestId, int>;

    void perform(const Routing::RouteActions &actions);
    /// Carries out the actions that an event has caused, and wakes whoever waits for the router's
    /// next timer.
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
    /// Returns an idle connection that is still open; null if there is none.
    Connection takeIdle(const Core::VmId &server);
    void keepOrClose(const Connection &connection);
    void closeConnection(const Connection &connection, Routing::ConnectionEnd end);
    const Platform::VmEntry *findVm(const Core::VmId &id) const;
    /// Returns a reachable entry VM of \p failureDomain that isn't shutting down; null if there is
    /// none.
    const Platform::VmEntry *findEntryVm(const Core::FailureDomainId &failureDomain) const;
    HttpRequest requestForServer(const PendingRequest &pending, const Core::VmId &server) const;
    HttpRequest requestForEntryVm(const PendingRequest &pending, Core::Instant deadline) const;
    HttpResponse finalAnswer(PendingRequest &pending);
    std::vector<Routing::BackendServerInfo> servers(Core::Instant now) const;
    std::vector<Routing::SpillOverOption> spillOverOptions(Core::Instant now) const;

    Node &m_node;
    Routing::RequestRouter m_router;
    Supervision::Wakeup m_wakeup;
    std::map<Core::RequestId, std::shared_ptr<PendingRequest>> m_pending;
    std::map<Core::VmId, std::deque<Connection>> m_idle;
    std::map<AttemptKey, Connection> m_inUse;
    /// Attempts whose answers are dropped.
    std::set<AttemptKey> m_abandoned;
    /// By server, connections that were opened before this time are closed instead of reused.
    std::map<Core::VmId, Core::Instant> m_doubtedBefore;
    /// Moving average of the number of requests in progress over some seconds.
    double m_demand = 0;
    /// Selects the next entry VM of another failure domain in turn.
    mutable std::size_t m_nextEntryVm = 0;
};

} // namespace Daemon
