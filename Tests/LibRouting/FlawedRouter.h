#pragma once

#include <LibRouting/RequestRouter.h>

#include <variant>

namespace RoutingWorld {

/// What a naive router would do. Each flaw has to be found by the check that is meant for it.
enum class Flaw {
    None,
    RetriesNonIdempotent,
    CallsUnknownNotRun,
    FreesAbandonedSlots,
    IgnoresConnectionShares,
    IgnoresLeavingServers,
    FinishesLateAnswersAgain,
    StopsAtOnceWhenLeaving,
    IgnoresDeadlines,
};

/// The real router with one flaw put in front of it.
class FlawedRouter
{
public:
    FlawedRouter(const Routing::RouterSettings &settings, std::uint64_t seed, Flaw flaw)
        : m_router(Routing::RequestRouter::create(settings, seed))
        , m_flaw(flaw)
    {
    }

    Routing::RouteActions onRequest(Routing::RequestInfo request, Core::Instant now)
    {
        if (m_flaw == Flaw::RetriesNonIdempotent)
            request.isIdempotent = true;
        if (m_flaw == Flaw::IgnoresDeadlines)
            request.deadline += std::chrono::minutes(1);
        return flawed(m_router.onRequest(request, now), now);
    }
    Routing::RouteActions onCallerGone(const Core::RequestId &request, Core::Instant now)
    {
        return flawed(m_router.onCallerGone(request, now), now);
    }
    Routing::RouteActions onConnectionOpened(const Core::VmId &server, Core::Instant now)
    {
        if (m_flaw == Flaw::IgnoresConnectionShares)
            return {};
        return flawed(m_router.onConnectionOpened(server, now), now);
    }
    Routing::RouteActions onConnectionClosed(const Core::VmId &server, Routing::ConnectionEnd end,
                                             Core::Instant now)
    {
        if (m_flaw == Flaw::IgnoresConnectionShares)
            return {};
        return flawed(m_router.onConnectionClosed(server, end, now), now);
    }
    Routing::RouteActions onAttemptNotSent(const Core::RequestId &request, int attempt,
                                           Core::Instant now)
    {
        return flawed(m_router.onAttemptNotSent(request, attempt, now), now);
    }
    Routing::RouteActions onFirstByte(const Core::RequestId &request, int attempt,
                                      Core::Instant now)
    {
        return flawed(m_router.onFirstByte(request, attempt, now), now);
    }
    Routing::RouteActions onAnswer(const Core::RequestId &request, int attempt, int status,
                                   Core::Instant now)
    {
        return flawed(m_router.onAnswer(request, attempt, status, now), now);
    }
    Routing::RouteActions onAttemptBroken(const Core::RequestId &request, int attempt,
                                          Core::Instant now)
    {
        return flawed(m_router.onAttemptBroken(request, attempt, now), now);
    }
    Routing::RouteActions onAbandonedEnded(const Core::RequestId &request, int attempt,
                                           Core::Instant now)
    {
        auto actions = m_router.onAbandonedEnded(request, attempt, now);
        if (m_flaw == Flaw::FinishesLateAnswersAgain)
            actions.push_back(Routing::Finish { request, Routing::Answered { attempt } });
        return flawed(std::move(actions), now);
    }
    Routing::RouteActions onSpillRefused(const Core::RequestId &request, int attempt,
                                         Core::Instant retryAfter, Core::Instant now)
    {
        return flawed(m_router.onSpillRefused(request, attempt, retryAfter, now), now);
    }
    Routing::RouteActions onSpillAnswer(const Core::RequestId &request, int attempt, int status,
                                        Core::Instant now)
    {
        return flawed(m_router.onSpillAnswer(request, attempt, status, now), now);
    }
    Routing::RouteActions onProbeAnswered(const Core::VmId &server, Core::Instant now)
    {
        return flawed(m_router.onProbeAnswered(server, now), now);
    }
    Routing::RouteActions onProbeFailed(const Core::VmId &server, Core::Instant now)
    {
        return flawed(m_router.onProbeFailed(server, now), now);
    }
    Routing::RouteActions setServers(std::vector<Routing::BackendServerInfo> servers,
                                     Core::Instant now)
    {
        constexpr int unlimited = 1000;
        for (auto &server : servers) {
            if (m_flaw == Flaw::IgnoresLeavingServers)
                server.isLeaving = false;
            if (m_flaw == Flaw::IgnoresConnectionShares)
                server.connections = unlimited;
        }
        return flawed(m_router.setServers(servers, now), now);
    }
    Routing::RouteActions setSpillOver(const std::vector<Routing::SpillOverOption> &options,
                                       Core::Instant now)
    {
        return flawed(m_router.setSpillOver(options, now), now);
    }
    Routing::RouteActions onTimer(Core::Instant now) { return flawed(m_router.onTimer(now), now); }
    std::optional<Core::Instant> nextWakeUp() const
    {
        return m_isStopped ? std::nullopt : m_router.nextWakeUp();
    }
    Routing::RouteActions beginLeaving(Core::Instant now)
    {
        m_isStopped = m_flaw == Flaw::StopsAtOnceWhenLeaving;
        return flawed(m_router.beginLeaving(now), now);
    }
    bool isIdle() const { return m_router.isIdle(); }

private:
    Routing::RouteActions flawed(Routing::RouteActions actions, Core::Instant now)
    {
        if (m_isStopped)
            return {};
        Routing::RouteActions more;
        for (Routing::RouteAction &action : actions) {
            auto *finish = std::get_if<Routing::Finish>(&action);
            auto *abandon = std::get_if<Routing::Abandon>(&action);
            if (finish && m_flaw == Flaw::CallsUnknownNotRun
                && std::holds_alternative<Routing::UnknownOutcome>(finish->outcome))
                finish->outcome = Routing::RefusedNotRun { now, "" };
            if (abandon && m_flaw == Flaw::FreesAbandonedSlots) {
                const auto freed
                    = m_router.onAbandonedEnded(abandon->request, abandon->attempt, now);
                more.insert(more.end(), freed.begin(), freed.end());
            }
        }
        actions.insert(actions.end(), more.begin(), more.end());
        return actions;
    }

    Routing::RequestRouter m_router;
    Flaw m_flaw;
    bool m_isStopped = false;
};

} // namespace RoutingWorld
