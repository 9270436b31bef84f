#pragma once

#include "ServerPool.h"
#include "SpillOverPlanner.h"
#include "TimerQueue.h"
#include "TrackedRequest.h"

#include <LibRouting/AdmissionController.h>
#include <LibRouting/FairQueue.h>
#include <LibRouting/RequestRouter.h>
#include <LibRouting/RetryBudget.h>
#include <LibRouting/SilenceDetector.h>

#include <string>
#include <unordered_map>

namespace Routing {

/// The implementation of `RequestRouter`. A request is queued, sent or spilled over, possibly
/// queued again, and finished.
class RequestRouter::Implementation
{
public:
    Implementation(const RouterSettings &settings, std::uint64_t seed);

    void onRequest(const RequestInfo &request, Core::Instant now);
    void onCallerGone(const Core::RequestId &request, Core::Instant now);
    void onAttemptNotSent(const Core::RequestId &request, int attempt, Core::Instant now);
    void onFirstByte(const Core::RequestId &request, int attempt, Core::Instant now);
    void onAnswer(const Core::RequestId &request, int attempt, int status, Core::Instant now);
    void onAttemptBroken(const Core::RequestId &request, int attempt, Core::Instant now);
    void onSpillRefused(const Core::RequestId &request, int attempt, Core::Instant retryAfter,
                        Core::Instant now);
    void onTimer(Core::Instant now);
    void dispatch(Core::Instant now);

    RouteActions takeActions();

    ServerPool &pool() { return m_pool; }
    const ServerPool &pool() const { return m_pool; }
    FairQueue &queue() { return m_queue; }
    const FairQueue &queue() const { return m_queue; }
    SpillOverPlanner &planner() { return m_planner; }
    RouteActions &actions() { return m_actions; }
    const TimerQueue &timers() const { return m_timers; }
    std::size_t inProgress() const { return m_requests.size(); }
    void beginLeaving() { m_isLeaving = true; }

private:
    TrackedRequest *findAttempt(const Core::RequestId &request, int attempt);
    Core::TeamId queueOf(const RequestInfo &request) const;
    Core::Duration expectedService(const TrackedRequest &request) const;
    Core::Instant latestStart(const TrackedRequest &request) const;

    /// Queues the request, spills it over, or refuses it.
    void admit(TrackedRequest &request, Core::Instant now);
    std::optional<std::string> reasonToRefuse(const TrackedRequest &request,
                                              std::optional<Core::Duration> wait,
                                              Core::Instant now) const;
    void enqueue(TrackedRequest &request, bool isReturning);
    void makeRoom(Core::Instant now);
    void drainUnservable(Core::Instant now);

    void send(TrackedRequest &request, const Core::VmId &server, Core::Instant now);
    /// Spills the request over if another failure domain is expected to be faster than \p
    /// localWait.
    bool trySpillOver(TrackedRequest &request, std::optional<Core::Duration> localWait,
                      Core::Instant now);
    /// Returns true if the request may be retried, and withdraws the retry from the budget.
    bool tryReserveRetry(const TrackedRequest &request, Core::Instant now);
    void retry(TrackedRequest &request, Core::Instant now);
    void comeBackUnrun(TrackedRequest &request, Core::Instant now);
    void abandon(TrackedRequest &request, Core::Instant now);

    void onRequestTimer(TrackedRequest &request, Core::Instant now);
    void onSilence(TrackedRequest &request, Core::Instant now);
    Core::Duration silenceThreshold(const TrackedRequest &request) const;
    void scheduleAttemptTimer(TrackedRequest &request);
    void schedule(TrackedRequest &request, Core::Instant at);

    /// Finishes the request as not run if that is certain, otherwise as unknown.
    void giveUp(TrackedRequest &request, const std::string &reason, Core::Instant now);
    void finish(TrackedRequest &request, const Outcome &outcome);

    RouterSettings m_settings;
    ServerPool m_pool;
    FairQueue m_queue;
    AdmissionController m_admission;
    RetryBudget m_retryBudget;
    SilenceDetector m_silence;
    SpillOverPlanner m_planner;
    TimerQueue m_timers;
    std::unordered_map<Core::RequestId, TrackedRequest> m_requests;
    RouteActions m_actions;
    bool m_isLeaving = false;
};

} // namespace Routing
