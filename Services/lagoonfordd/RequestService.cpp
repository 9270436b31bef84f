#include <utility>

#include "RequestService.h"

#include <LibLog/Logging.h>

#include <LibCore/SteadyClock.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <variant>

namespace Daemon {

namespace asio = boost::asio;
namespace http = boost::beast::http;

static constexpr Core::Duration longestSleep = std::chrono::milliseconds(100);
/// Round-trip time that a request to another failure domain adds.
static constexpr Core::Duration hopLatency = std::chrono::milliseconds(2);
/// An entry VM with more requests waiting than this gets none from other failure domains.
static constexpr std::uint64_t mostQueuedAtOtherDoor = 50;
/// Weight of the newest value in the moving average, which gets ten values per second and thus
/// spans some seconds.
static constexpr double demandSmoothing = 0.05;
static constexpr const char *servicePrefix = "/service";
static constexpr const char *probePath = "/healthz";
static constexpr const char *defaultRetryAfter = "1";
static const auto partLogger = Log::logger("router");

RequestService::RequestService(Node &node)
    : m_node(node)
    , m_router(Routing::RequestRouter::create({}, std::random_device()()))
    , m_wakeup(node.executor())
{
}

asio::awaitable<HttpResponse> RequestService::serve(Routing::RequestInfo info, HttpRequest request)
{
    const auto pending
        = std::make_shared<PendingRequest>(m_node.executor(), std::move(info), std::move(request));
    m_pending[pending->info.id] = pending;
    react(m_router.onRequest(pending->info, Core::steadyNow()));
    while (!pending->outcome)
        co_await pending->finished.sleepUntil(Core::Instant::max());
    co_return finalAnswer(*pending);
}

void RequestService::onCallerGone(const Core::RequestId &request)
{
    react(m_router.onCallerGone(request, Core::steadyNow()));
}

HttpResponse RequestService::finalAnswer(PendingRequest &pending)
{
    const Core::Instant now = Core::steadyNow();
    const double seconds = std::chrono::duration<double>(now - pending.info.arrivedAt).count();
    if (const auto *answered = std::get_if<Routing::Answered>(&*pending.outcome)) {
        m_node.metrics().countRequest("answered", seconds);
        const HttpResponse &answer = pending.answers.at(answered->attempt);
        HttpResponse response(answer.result(), 11);
        copyEndToEndFields(answer.base(), response.base());
        response.set(Field::outcome, "answered");
        const std::string callersId = fieldText(pending.http.base(), Field::requestId);
        response.set(Field::requestId, callersId.empty() ? pending.info.id.text() : callersId);
        response.body() = answer.body();
        response.prepare_payload();
        return response;
    }
    if (const auto *refused = std::get_if<Routing::RefusedNotRun>(&*pending.outcome)) {
        m_node.metrics().countRequest("not-run", seconds);
        return notRunResponse(refused->reason, refused->retryAfter - now);
    }
    m_node.metrics().countRequest("unknown", seconds);
    return unknownResponse(std::get<Routing::UnknownOutcome>(*pending.outcome).reason);
}

void RequestService::refresh(Core::Instant now)
{
    std::map<Core::TeamId, int> weights;
    for (const auto &[team, rule] : m_node.ruleReplica().current().rules.teams)
        weights[team] = rule.weight;
    m_router.setTeamWeights(weights);
    perform(m_router.setServers(servers(now), now));
    perform(m_router.setSpillOver(spillOverOptions(now), now));
    m_demand += demandSmoothing * (static_cast<double>(m_router.inProgress()) - m_demand);
    m_node.membership().setDemand(static_cast<int>(std::ceil(m_demand)));
    m_node.setQueued(m_router.queued());
    m_node.metrics().setQueued(static_cast<double>(m_router.queued()));
}

std::vector<Routing::BackendServerInfo> RequestService::servers(Core::Instant now) const
{
    const Rules::RuleSet &rules = m_node.ruleReplica().current().rules;
    const bool isOut = rules.isOut(m_node.settings().failureDomain);
    std::vector<Routing::BackendServerInfo> servers;
    for (const Platform::VmEntry &vm : m_node.vms()) {
        if (vm.kind != Platform::VmKind::Worker || vm.slots == 0
            || vm.failureDomain != m_node.settings().failureDomain)
            continue;
        const int slots = rules.slots ? std::min(vm.slots, rules.slots->slots) : vm.slots;
        const int connections
            = rules.slots ? std::min(vm.connections, rules.slots->connections) : vm.connections;
        const Lease::ShareLimit share = m_node.shares().limitFor(vm.id, slots, connections, now);
        const bool isLeaving = isOut || vm.state == Platform::VmState::Leaving;
        servers.push_back({ vm.id, isLeaving, share.slots, share.connections });
    }
    return servers;
}

std::vector<Routing::SpillOverOption> RequestService::spillOverOptions(Core::Instant now) const
{
    std::map<Core::FailureDomainId, bool> accepting;
    const Rules::RuleSet &rules = m_node.ruleReplica().current().rules;
    for (const auto &[id, peerState] : m_node.peerStates()) {
        const VmState &state = peerState.state;
        if (state.failureDomain == m_node.settings().failureDomain
            || rules.isOut(state.failureDomain))
            continue;
        const bool isAccepting = m_node.isReachable(peerState, now) && !state.isLeaving
            && state.queued < mostQueuedAtOtherDoor;
        accepting[state.failureDomain] = accepting[state.failureDomain] || isAccepting;
    }
    std::vector<Routing::SpillOverOption> options;
    options.reserve(accepting.size());
    for (const auto &[failureDomain, isAccepting] : accepting)
        options.push_back({ failureDomain, hopLatency, isAccepting });
    return options;
}

Core::Instant RequestService::onTimer(Core::Instant now)
{
    perform(m_router.onTimer(now));
    const Core::Instant latest = now + longestSleep;
    return std::min(m_router.nextWakeUp().value_or(latest), latest);
}

void RequestService::beginLeaving()
{
    react(m_router.beginLeaving(Core::steadyNow()));
}

void RequestService::perform(const Routing::RouteActions &actions)
{
    for (const Routing::RouteAction &action : actions)
        std::visit([this](const auto &typed) { perform(typed); }, action);
}

void RequestService::react(const Routing::RouteActions &actions)
{
    perform(actions);
    m_wakeup.wake();
}

void RequestService::perform(const Routing::Send &action)
{
    const auto pending = m_pending.at(action.request);
    LOG4CXX_INFO(partLogger,
                 "request " << action.request << " attempt " << action.attempt << " of team "
                            << pending->info.team << " to " << action.server);
    asio::co_spawn(m_node.executor(), runAttempt(action, pending), asio::detached);
}

void RequestService::perform(const Routing::Abandon &action)
{
    m_node.metrics().countAttempt("abandoned");
    LOG4CXX_INFO(partLogger,
                 "request " << action.request << " attempt " << action.attempt << " abandoned at "
                            << action.server);
    // The answer is read and dropped: its end shows that the server's slot is free.
    m_abandoned.insert({ action.request, action.attempt });
}

void RequestService::perform(const Routing::CloseAbandoned &action)
{
    const auto connection = m_inUse.find({ action.request, action.attempt });
    if (connection != m_inUse.end())
        connection->second->close();
}

void RequestService::perform(const Routing::SpillOver &action)
{
    LOG4CXX_INFO(partLogger,
                 "request " << action.request << " attempt " << action.attempt << " passed on to "
                            << action.failureDomain);
    asio::co_spawn(m_node.executor(), runSpillOver(action, m_pending.at(action.request)),
                   asio::detached);
}

void RequestService::perform(const Routing::Finish &action)
{
    const auto found = m_pending.find(action.request);
    if (found == m_pending.end())
        return;
    if (const auto *refused = std::get_if<Routing::RefusedNotRun>(&action.outcome))
        LOG4CXX_INFO(partLogger, "request " << action.request << " refused: " << refused->reason);
    if (const auto *unknown = std::get_if<Routing::UnknownOutcome>(&action.outcome))
        LOG4CXX_WARN(partLogger, "request " << action.request << " unknown: " << unknown->reason);
    found->second->outcome = action.outcome;
    found->second->finished.wake();
    m_pending.erase(found);
}

void RequestService::perform(const Routing::ProbeServer &action)
{
    asio::co_spawn(m_node.executor(), runProbe(action), asio::detached);
}

void RequestService::perform(const Routing::DoubtConnections &action)
{
    LOG4CXX_WARN(partLogger, "connections to " << action.server << " have gone silent");
    m_doubtedBefore[action.server] = action.openedBefore;
    std::deque<Connection> &idle = m_idle[action.server];
    std::vector<Connection> doubted;
    for (auto position = idle.begin(); position != idle.end();) {
        const bool isDoubted = (*position)->openedAt() < action.openedBefore;
        if (isDoubted)
            doubted.push_back(*position);
        position = isDoubted ? idle.erase(position) : position + 1;
    }
    for (const Connection &connection : doubted)
        closeConnection(connection, Routing::ConnectionEnd::Uncertain);
}

void RequestService::perform(const Routing::CloseIdleConnections &action)
{
    std::deque<Connection> &idle = m_idle[action.server];
    for (int count = 0; count < action.count && !idle.empty(); ++count) {
        const Connection connection = idle.front();
        idle.pop_front();
        closeConnection(connection, Routing::ConnectionEnd::KnownToServer);
    }
}

asio::awaitable<void> RequestService::runAttempt(Routing::Send action,
                                                 std::shared_ptr<PendingRequest> pending)
{
    Connection connection = takeIdle(action.server);
    const AttemptKey key { action.request, action.attempt };
    if (!connection) {
        connection = std::make_shared<BackendConnection>(m_node.executor(), action.server);
        m_inUse[key] = connection;
        react(m_router.onConnectionOpened(action.server, Core::steadyNow()));
        const Platform::VmEntry *vm = findVm(action.server);
        const bool isOpen = vm != nullptr && co_await connection->open(vm->address, vm->port);
        if (!isOpen) {
            m_inUse.erase(key);
            m_abandoned.erase(key);
            m_node.metrics().countAttempt("not-sent");
            closeConnection(connection, Routing::ConnectionEnd::KnownToServer);
            react(m_router.onAttemptNotSent(action.request, action.attempt, Core::steadyNow()));
            co_return;
        }
    }
    m_inUse[key] = connection;
    const HttpRequest request = requestForServer(*pending, action.server);
    const ExchangeResult result = co_await connection->exchange(
        request, static_cast<std::uint64_t>(m_node.settings().largestBodyBytes),
        [&] { react(m_router.onFirstByte(action.request, action.attempt, Core::steadyNow())); });
    m_inUse.erase(key);
    finishAttempt(action, *pending, connection, result);
}

void RequestService::finishAttempt(const Routing::Send &action, PendingRequest &pending,
                                   const Connection &connection, ExchangeResult result)
{
    const Core::Instant now = Core::steadyNow();
    if (m_abandoned.erase({ action.request, action.attempt }) > 0) {
        const bool isEnded = result == ExchangeResult::Answered;
        closeConnection(connection,
                        isEnded ? Routing::ConnectionEnd::KnownToServer
                                : Routing::ConnectionEnd::Uncertain);
        if (isEnded)
            react(m_router.onAbandonedEnded(action.request, action.attempt, now));
        return;
    }
    switch (result) {
    case ExchangeResult::Answered: {
        m_node.metrics().countAttempt("answered");
        const int status = static_cast<int>(connection->response().result_int());
        pending.answers[action.attempt] = std::move(connection->response());
        keepOrClose(connection);
        react(m_router.onAnswer(action.request, action.attempt, status, now));
        return;
    }
    case ExchangeResult::NotSent:
        m_node.metrics().countAttempt("not-sent");
        closeConnection(connection, Routing::ConnectionEnd::KnownToServer);
        react(m_router.onAttemptNotSent(action.request, action.attempt, now));
        return;
    case ExchangeResult::Broken:
        m_node.metrics().countAttempt("broken");
        closeConnection(connection, Routing::ConnectionEnd::Uncertain);
        react(m_router.onAttemptBroken(action.request, action.attempt, now));
        return;
    }
}

asio::awaitable<void> RequestService::runSpillOver(Routing::SpillOver action,
                                                   std::shared_ptr<PendingRequest> pending)
{
    const Platform::VmEntry *door = findEntryVm(action.failureDomain);
    const auto connection = std::make_shared<BackendConnection>(
        m_node.executor(), door != nullptr ? door->id : Core::VmId());
    const AttemptKey key { action.request, action.attempt };
    m_inUse[key] = connection;
    const bool isOpen
        = door != nullptr && co_await connection->open(door->address, door->callerPort);
    ExchangeResult result = ExchangeResult::NotSent;
    if (isOpen)
        result = co_await connection->exchange(
            requestForEntryVm(*pending, action.attemptDeadline),
            static_cast<std::uint64_t>(m_node.settings().largestBodyBytes), [] {});
    m_inUse.erase(key);
    const Core::Instant now = Core::steadyNow();
    const HttpResponse &response = connection->response();
    const std::string outcome = fieldText(response.base(), Field::outcome);
    if (result == ExchangeResult::NotSent) {
        react(m_router.onAttemptNotSent(action.request, action.attempt, now));
    } else if (result == ExchangeResult::Broken || outcome == "unknown") {
        react(m_router.onAttemptBroken(action.request, action.attempt, now));
    } else if (outcome == "not-run") {
        const std::string text = fieldText(response.base(), "Retry-After");
        const int seconds = std::atoi((text.empty() ? defaultRetryAfter : text).c_str());
        react(m_router.onSpillRefused(action.request, action.attempt,
                                      now + std::chrono::seconds(seconds), now));
    } else {
        const int status = static_cast<int>(response.result_int());
        pending->answers[action.attempt] = response;
        react(m_router.onSpillAnswer(action.request, action.attempt, status, now));
    }
    connection->close();
}

asio::awaitable<void> RequestService::runProbe(Routing::ProbeServer action)
{
    const auto connection = std::make_shared<BackendConnection>(m_node.executor(), action.server);
    asio::steady_timer timeout(m_node.executor());
    timeout.expires_after(action.deadline - Core::steadyNow());
    timeout.async_wait([connection](const boost::system::error_code &error) {
        if (!error)
            connection->close();
    });
    react(m_router.onConnectionOpened(action.server, Core::steadyNow()));
    const Platform::VmEntry *vm = findVm(action.server);
    bool isAnswered = vm != nullptr && co_await connection->open(vm->address, vm->port);
    if (isAnswered) {
        HttpRequest request(http::verb::get, probePath, 11);
        request.set(http::field::host, action.server.text());
        request.prepare_payload();
        const ExchangeResult result = co_await connection->exchange(
            request, static_cast<std::uint64_t>(m_node.settings().largestBodyBytes), [] {});
        isAnswered = result == ExchangeResult::Answered;
    }
    timeout.cancel();
    closeConnection(connection,
                    isAnswered ? Routing::ConnectionEnd::KnownToServer
                               : Routing::ConnectionEnd::Uncertain);
    const Core::Instant now = Core::steadyNow();
    react(isAnswered ? m_router.onProbeAnswered(action.server, now)
                     : m_router.onProbeFailed(action.server, now));
}

RequestService::Connection RequestService::takeIdle(const Core::VmId &server)
{
    std::deque<Connection> &idle = m_idle[server];
    while (!idle.empty()) {
        // The newest connection is the least likely to have been closed by the server or dropped by
        // the network.
        Connection connection = idle.back();
        idle.pop_back();
        if (connection->isReusable())
            return connection;
        closeConnection(connection, Routing::ConnectionEnd::KnownToServer);
    }
    return nullptr;
}

void RequestService::keepOrClose(const Connection &connection)
{
    const auto doubted = m_doubtedBefore.find(connection->server());
    const bool isDoubted
        = doubted != m_doubtedBefore.end() && connection->openedAt() < doubted->second;
    if (isDoubted || !connection->isReusable())
        closeConnection(connection, Routing::ConnectionEnd::KnownToServer);
    else
        m_idle[connection->server()].push_back(connection);
}

void RequestService::closeConnection(const Connection &connection, Routing::ConnectionEnd end)
{
    connection->close();
    react(m_router.onConnectionClosed(connection->server(), end, Core::steadyNow()));
}

const Platform::VmEntry *RequestService::findVm(const Core::VmId &id) const
{
    const auto &vms = m_node.vms();
    const auto found = std::find_if(vms.begin(), vms.end(),
                                    [&](const Platform::VmEntry &vm) { return vm.id == id; });
    return found == vms.end() ? nullptr : &*found;
}

const Platform::VmEntry *
RequestService::findEntryVm(const Core::FailureDomainId &failureDomain) const
{
    std::vector<const Platform::VmEntry *> entryVms;
    const Core::Instant now = Core::steadyNow();
    for (const Platform::VmEntry &vm : m_node.vms()) {
        const auto known = m_node.peerStates().find(vm.id);
        const bool isOpen = known != m_node.peerStates().end() && !known->second.state.isLeaving
            && m_node.isReachable(known->second, now);
        if (vm.failureDomain == failureDomain && isOpen)
            entryVms.push_back(&vm);
    }
    return entryVms.empty() ? nullptr : entryVms[m_nextEntryVm++ % entryVms.size()];
}

HttpRequest RequestService::requestForServer(const PendingRequest &pending,
                                             const Core::VmId &server) const
{
    std::string target(pending.http.target());
    if (target.starts_with(servicePrefix))
        target.erase(0, std::string(servicePrefix).size());
    HttpRequest request(pending.http.method(), target.empty() ? "/" : target, 11);
    copyEndToEndFields(pending.http.base(), request.base());
    request.set(http::field::host, server.text());
    // A request ID that the caller has set is passed on to the backend server.
    if (fieldText(request.base(), Field::requestId).empty())
        request.set(Field::requestId, pending.info.id.text());
    request.keep_alive(true);
    request.body() = pending.http.body();
    request.prepare_payload();
    return request;
}

HttpRequest RequestService::requestForEntryVm(const PendingRequest &pending,
                                              Core::Instant deadline) const
{
    HttpRequest request = pending.http;
    request.set(Field::spilled, "1");
    const auto left
        = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Core::steadyNow());
    request.set(Field::deadlineMs, std::to_string(std::max<std::int64_t>(left.count(), 1)));
    // This VM has the decision about the key; the other one must not ask for it again.
    request.erase(Field::key);
    request.keep_alive(false);
    request.prepare_payload();
    return request;
}

} // namespace Daemon
