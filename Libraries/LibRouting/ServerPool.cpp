#include "ServerPool.h"

#include "MovingAverage.h"

#include <algorithm>

namespace Routing {

namespace {

constexpr int serviceTimeDivisor = 10;
/// Divisor of the moving average for a server on trial, whose service time must adapt faster.
constexpr int trialDivisor = 2;
constexpr int answersPerMedian = 16;
constexpr int samplesToJudge = 5;
/// A server with a bad measurement would never be chosen again at low load, so it gets a trial
/// request after this time.
constexpr Core::Duration longestNeglect = std::chrono::seconds(5);
constexpr int notSentToOpen = 3;
constexpr Core::Duration probeInterval = std::chrono::seconds(1);
/// If no idempotent request arrives for this many intervals, any request is used as the trial.
constexpr int overdueIntervals = 5;

void keepEarlier(std::optional<Core::Instant> &earliest, std::optional<Core::Instant> candidate)
{
    if (candidate && (!earliest || *candidate < *earliest))
        earliest = candidate;
}

} // namespace

ServerPool::ServerPool(const RouterSettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
    , m_selector(ServerSelector::create(settings.selection))
    , m_medianServiceTime(settings.initialServiceTime)
{
}

void ServerPool::setServers(const std::vector<BackendServerInfo> &servers, RouteActions &actions)
{
    for (auto &[id, server] : m_servers) {
        server->takesNew = false;
        server->limiter.setShare(0, 0);
    }
    for (const BackendServerInfo &info : servers) {
        auto &server = m_servers[info.id];
        if (!server)
            server = std::make_unique<BackendServer>(info.id, m_settings);
        if (info.isLeaving)
            continue;
        server->takesNew = true;
        server->limiter.setShare(info.slots, info.connections);
    }
    for (const auto &[id, server] : m_servers)
        closeSurplus(*server, actions);
    forgetUnused();
}

void ServerPool::forgetUnused()
{
    std::erase_if(m_servers, [](const auto &entry) {
        return !entry.second->takesNew && entry.second->limiter.isUnused();
    });
    m_listed.clear();
    for (auto &[id, server] : m_servers) {
        if (server->takesNew)
            m_listed.push_back(server.get());
    }
}

std::optional<Core::VmId> ServerPool::choose(const std::vector<Core::VmId> &tried,
                                             bool isIdempotent, Core::Instant now)
{
    m_candidates.clear();
    const BackendServer *triedBefore = nullptr;
    for (std::size_t index = 0; index < m_listed.size(); ++index) {
        const BackendServer &server = *m_listed[index];
        if (server.isSuspect || !server.limiter.hasFreeSlot())
            continue;
        const Availability found = availability(server, isIdempotent, now);
        if (found == Availability::Excluded)
            continue;
        if (std::find(tried.begin(), tried.end(), server.id) != tried.end()) {
            triedBefore = &server;
            continue;
        }
        if (found == Availability::Trial)
            return server.id;
        m_candidates.push_back({ index, server.limiter.inWork() + server.limiter.abandoned(),
                                 server.samples > 0 ? server.serviceTime : m_medianServiceTime,
                                 server.breaker.failuresOfWindow() });
    }
    if (!m_candidates.empty())
        return m_listed[m_candidates[m_selector->choose(m_candidates, m_random)].index]->id;
    if (triedBefore)
        return triedBefore->id;
    return std::nullopt;
}

ServerPool::Availability ServerPool::availability(const BackendServer &server, bool isIdempotent,
                                                  Core::Instant now) const
{
    if (server.breaker.state() == CircuitBreaker::State::Open)
        return Availability::Excluded;
    const bool isHalfOpen = server.breaker.state() == CircuitBreaker::State::HalfOpen;
    const bool isForgotten = now - server.lastSentAt >= longestNeglect;
    if (!isHalfOpen && !server.isSlow)
        return isForgotten ? Availability::Trial : Availability::Normal;
    if (server.limiter.inWork() == 0 && now - server.lastTrialAt >= trialPause(isIdempotent))
        return Availability::Trial;
    return Availability::Excluded;
}

Core::Duration ServerPool::trialPause(bool isIdempotent) const
{
    return m_settings.slowServerTrialInterval * (isIdempotent ? 1 : overdueIntervals);
}

bool ServerPool::hasSlots(const BackendServer &server) const
{
    return !server.isSlow && server.breaker.state() == CircuitBreaker::State::Closed;
}

int ServerPool::usableSlots() const
{
    int slots = 0;
    for (const BackendServer *server : m_listed) {
        if (hasSlots(*server))
            slots += std::max(0, server->limiter.slots() - server->limiter.abandoned());
    }
    return slots;
}

void ServerPool::onSent(const Core::VmId &server, Core::Instant now)
{
    BackendServer *found = find(server);
    if (!found)
        return;
    found->limiter.onSent();
    found->lastSentAt = now;
    if (!hasSlots(*found))
        found->lastTrialAt = now;
}

void ServerPool::onAnswered(const Core::VmId &server, Core::Instant sentAt, bool isFailure,
                            Core::Instant now, RouteActions &actions)
{
    BackendServer *found = find(server);
    if (!found)
        return;
    found->limiter.onEnded();
    onSignOfLife(*found, now, actions);
    found->notSentInARow = 0;
    if (!isFailure) {
        found->breaker.onSuccess();
        observe(*found, now - sentAt);
    } else if (isOpeningAllowed()) {
        found->breaker.onFailure(now);
    }
    closeSurplus(*found, actions);
}

void ServerPool::onNotSent(const Core::VmId &server, Core::Instant now)
{
    BackendServer *found = find(server);
    if (!found)
        return;
    found->limiter.onEnded();
    found->breaker.onFailure(now);
    if (++found->notSentInARow >= notSentToOpen)
        found->breaker.open(now);
}

void ServerPool::onBroken(const Core::VmId &server, const Core::RequestId &request, int attempt,
                          Core::Instant now)
{
    BackendServer *found = find(server);
    if (!found)
        return;
    found->limiter.onAbandoned(request, attempt, now);
    found->breaker.onFailure(now);
}

void ServerPool::onAbandoned(const Core::VmId &server, const Core::RequestId &request, int attempt,
                             Core::Instant sentAt, Core::Instant now)
{
    BackendServer *found = find(server);
    if (!found)
        return;
    found->limiter.onAbandoned(request, attempt, now);
    // The answer would have taken at least this long. Without this sample, the service times of
    // slow servers would be underestimated.
    if (now - sentAt > found->serviceTime)
        observe(*found, now - sentAt);
}

void ServerPool::onAbandonedEnded(const Core::RequestId &request, int attempt)
{
    for (auto &[id, server] : m_servers) {
        if (server->limiter.onAbandonedEnded(request, attempt))
            return;
    }
}

void ServerPool::onSilence(const Core::VmId &server, Core::Instant now, RouteActions &actions)
{
    BackendServer *found = find(server);
    if (!found || found->isSuspect)
        return;
    found->isSuspect = true;
    found->isDoubtPending = true;
    if (isProbeWanted(*found, now))
        probe(*found, now, actions);
}

void ServerPool::onProbeAnswered(const Core::VmId &server, Core::Instant now, RouteActions &actions)
{
    BackendServer *found = find(server);
    if (!found || !found->probeSentAt)
        return;
    const Core::Instant sentAt = *found->probeSentAt;
    endProbe(*found);
    onSignOfLife(*found, now, actions);
    found->breaker.onProbeAnswered();
    found->isSuspect = false;
    if (!found->isDoubtPending)
        return;
    found->isDoubtPending = false;
    actions.push_back(DoubtConnections { server, sentAt });
}

void ServerPool::onProbeFailed(const Core::VmId &server, Core::Instant now)
{
    BackendServer *found = find(server);
    if (!found || !found->probeSentAt)
        return;
    endProbe(*found);
    found->breaker.onProbeFailed(now);
    if (!found->isSuspect)
        return;
    found->isSuspect = false;
    found->breaker.open(now);
}

void ServerPool::onConnectionOpened(const Core::VmId &server)
{
    if (BackendServer *found = find(server))
        found->limiter.onConnectionOpened();
}

void ServerPool::onConnectionClosed(const Core::VmId &server, bool isKnownToServer,
                                    Core::Instant now)
{
    if (BackendServer *found = find(server))
        found->limiter.onConnectionClosed(isKnownToServer, now);
}

void ServerPool::onTimer(Core::Instant now, RouteActions &actions)
{
    for (auto &[id, server] : m_servers) {
        server->limiter.release(now);
        if (isProbeWanted(*server, now))
            probe(*server, now, actions);
    }
}

std::optional<Core::Instant> ServerPool::nextWakeUp(bool hasQueue) const
{
    std::optional<Core::Instant> next;
    for (const auto &[id, server] : m_servers) {
        keepEarlier(next, server->limiter.nextRelease());
        keepEarlier(next, probeWantedAt(*server));
        // Idempotent requests are chosen for a due trial elsewhere; this covers all others.
        const bool isTrialPossible = server->takesNew && !server->isSuspect
            && server->breaker.state() != CircuitBreaker::State::Open && !hasSlots(*server)
            && server->limiter.inWork() == 0 && server->limiter.hasFreeSlot();
        if (hasQueue && isTrialPossible)
            keepEarlier(next, server->lastTrialAt + trialPause(false));
    }
    return next;
}

void ServerPool::onSignOfLife(BackendServer &server, Core::Instant now, RouteActions &actions)
{
    for (const auto &ended : server.limiter.onSignOfLife(now))
        actions.push_back(CloseAbandoned { ended.request, ended.attempt, server.id });
}

BackendServer *ServerPool::find(const Core::VmId &server)
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? nullptr : found->second.get();
}

void ServerPool::observe(BackendServer &server, Core::Duration serviceTime)
{
    server.samples = std::min(server.samples + 1, serviceTimeDivisor);
    const int divisor = server.isSlow ? trialDivisor : server.samples;
    server.serviceTime = movedAverage(server.serviceTime, serviceTime, divisor);
    if (!server.isSlow && ++m_answersSinceMedian < answersPerMedian)
        return;
    m_answersSinceMedian = 0;
    refreshMedian();
}

void ServerPool::refreshMedian()
{
    if (m_listed.empty())
        return;
    std::vector<Core::Duration> times;
    times.reserve(m_listed.size());
    for (const BackendServer *server : m_listed) {
        if (server->samples > 0)
            times.push_back(server->serviceTime);
    }
    if (times.empty())
        return;
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    m_medianServiceTime = *middle;
    if (!m_settings.hasFaultDetection)
        return;
    // Since the limit is relative to the median, fewer than half of the servers can be slow.
    const auto limit = static_cast<double>(middle->count()) * m_settings.slowServerFactor;
    for (BackendServer *server : m_listed)
        server->isSlow = server->samples >= samplesToJudge
            && static_cast<double>(server->serviceTime.count()) > limit;
}

bool ServerPool::isOpeningAllowed() const
{
    // If most servers fail their requests, the requests are probably at fault. At least half of the
    // servers continue to get requests.
    const auto open = std::count_if(m_listed.begin(), m_listed.end(), [](const auto *server) {
        return server->breaker.state() != CircuitBreaker::State::Closed;
    });
    return m_settings.hasFaultDetection
        && (open + 1) * 2 <= static_cast<std::ptrdiff_t>(m_listed.size());
}

void ServerPool::closeSurplus(const BackendServer &server, RouteActions &actions) const
{
    const int surplus = server.limiter.surplusConnections();
    if (surplus > 0)
        actions.push_back(CloseIdleConnections { server.id, surplus });
}

std::optional<Core::Instant> ServerPool::probeWantedAt(const BackendServer &server) const
{
    if (server.probeSentAt || !server.limiter.hasFreeConnection())
        return std::nullopt;
    if (server.isSuspect)
        return server.lastProbeAt;
    if (server.breaker.state() == CircuitBreaker::State::Open)
        return server.breaker.probeAt();
    if (server.limiter.abandoned() > 0)
        return std::max(server.lastProbeAt, server.limiter.lastSignOfLife()) + probeInterval;
    return std::nullopt;
}

bool ServerPool::isProbeWanted(const BackendServer &server, Core::Instant now) const
{
    const std::optional<Core::Instant> wantedAt = probeWantedAt(server);
    return wantedAt && *wantedAt <= now;
}

void ServerPool::probe(BackendServer &server, Core::Instant now, RouteActions &actions)
{
    server.probeSentAt = now;
    server.lastProbeAt = now;
    server.limiter.onProbeSent();
    server.breaker.onProbeSent(now + m_settings.probeTimeout);
    actions.push_back(ProbeServer { server.id, now + m_settings.probeTimeout });
}

void ServerPool::endProbe(BackendServer &server)
{
    server.probeSentAt.reset();
    server.limiter.onProbeEnded();
}

} // namespace Routing
