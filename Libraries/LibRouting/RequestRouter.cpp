#include <LibRouting/RequestRouter.h>

#include "RequestRouterImplementation.h"

#include <algorithm>

namespace Routing {

RequestRouter RequestRouter::create(const RouterSettings &settings, std::uint64_t seed)
{
    return RequestRouter(std::make_unique<Implementation>(settings, seed));
}

RequestRouter::RequestRouter(std::unique_ptr<Implementation> implementation)
    : m_implementation(std::move(implementation))
{
}

RequestRouter::RequestRouter(RequestRouter &&) noexcept = default;
RequestRouter &RequestRouter::operator=(RequestRouter &&) noexcept = default;
RequestRouter::~RequestRouter() = default;

RouteActions RequestRouter::onRequest(const RequestInfo &request, Core::Instant now)
{
    m_implementation->onRequest(request, now);
    return m_implementation->takeActions();
}

RouteActions RequestRouter::onCallerGone(const Core::RequestId &request, Core::Instant now)
{
    m_implementation->onCallerGone(request, now);
    return m_implementation->takeActions();
}

RouteActions RequestRouter::onConnectionOpened(const Core::VmId &server, Core::Instant /*now*/)
{
    m_implementation->pool().onConnectionOpened(server);
    return m_implementation->takeActions();
}

RouteActions RequestRouter::onConnectionClosed(const Core::VmId &server, ConnectionEnd end,
                                               Core::Instant now)
{
    const bool isKnownToServer = end == ConnectionEnd::KnownToServer;
    m_implementation->pool().onConnectionClosed(server, isKnownToServer, now);
    m_implementation->dispatch(now);
    return m_implementation->takeActions();
}

RouteActions RequestRouter::onAttemptNotSent(const Core::RequestId &request, int attempt,
                                             Core::Instant now)
{
    m_implementation->onAttemptNotSent(request, attempt, now);
    return m_implementation->takeActions();
}

RouteActions RequestRouter::onFirstByte(const Core::RequestId &request, int attempt,
                                        Core::Instant now)
{
    m_implementation->onFirstByte(request, attempt, now);
    return m_implementation->takeActions();
}

RouteActions RequestRouter::onAnswer(const Core::RequestId &request, int attempt, int status,
                                     Core::Instant now)
{
    m_implementation->onAnswer(request, attempt, status, now);
    return m_implementation->takeActions();
}

RouteActions RequestRouter::onAttemptBroken(const Core::RequestId &request, int attempt,
                                            Core::Instant now)
{
    m_implementation->onAttemptBroken(request, attempt, now);
    return m_implementation->takeActions();
}

RouteActions RequestRouter::onAbandonedEnded(const Core::RequestId &request, int attempt,
                                             Core::Instant now)
{
    m_implementation->pool().onAbandonedEnded(request, attempt);
    m_implementation->dispatch(now);
    return m_implementation->takeActions();
}

RouteActions RequestRouter::onSpillRefused(const Core::RequestId &request, int attempt,
                                           Core::Instant retryAfter, Core::Instant now)
{
    m_implementation->onSpillRefused(request, attempt, retryAfter, now);
    return m_implementation->takeActions();
}

RouteActions RequestRouter::onSpillAnswer(const Core::RequestId &request, int attempt, int status,
                                          Core::Instant now)
{
    return onAnswer(request, attempt, status, now);
}

RouteActions RequestRouter::onProbeAnswered(const Core::VmId &server, Core::Instant now)
{
    m_implementation->pool().onProbeAnswered(server, now, m_implementation->actions());
    m_implementation->dispatch(now);
    return m_implementation->takeActions();
}

RouteActions RequestRouter::onProbeFailed(const Core::VmId &server, Core::Instant now)
{
    m_implementation->pool().onProbeFailed(server, now);
    m_implementation->dispatch(now);
    return m_implementation->takeActions();
}

RouteActions RequestRouter::setServers(const std::vector<BackendServerInfo> &servers,
                                       Core::Instant now)
{
    m_implementation->pool().setServers(servers, m_implementation->actions());
    m_implementation->dispatch(now);
    return m_implementation->takeActions();
}

void RequestRouter::setTeamWeights(const std::map<Core::TeamId, int> &weights)
{
    m_implementation->queue().setWeights(weights);
}

RouteActions RequestRouter::setSpillOver(const std::vector<SpillOverOption> &options,
                                         Core::Instant now)
{
    m_implementation->planner().setOptions(options);
    m_implementation->dispatch(now);
    return m_implementation->takeActions();
}

RouteActions RequestRouter::onTimer(Core::Instant now)
{
    m_implementation->onTimer(now);
    return m_implementation->takeActions();
}

std::optional<Core::Instant> RequestRouter::nextWakeUp() const
{
    std::optional<Core::Instant> next = m_implementation->timers().next();
    const auto pool = m_implementation->pool().nextWakeUp(!m_implementation->queue().isEmpty());
    if (pool)
        next = next ? std::min(*next, *pool) : *pool;
    return next;
}

RouteActions RequestRouter::beginLeaving(Core::Instant now)
{
    m_implementation->beginLeaving();
    m_implementation->dispatch(now);
    return m_implementation->takeActions();
}

bool RequestRouter::isIdle() const
{
    return inProgress() == 0;
}

std::size_t RequestRouter::queued() const
{
    return m_implementation->queue().size();
}

std::size_t RequestRouter::inProgress() const
{
    return m_implementation->inProgress();
}

} // namespace Routing
