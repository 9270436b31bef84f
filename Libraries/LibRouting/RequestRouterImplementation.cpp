#include "RequestRouterImplementation.h"

#include <LibCore/Error.h>

#include <algorithm>

namespace Routing {

namespace {

/// Maximum number of attempts of a request that certainly hasn't run. They don't use the retry
/// budget.
constexpr int maximumUnrunAttempts = 10;
constexpr int firstFailureStatus = 500;
constexpr std::uint64_t admissionSeedOffset = 1;

} // namespace

RequestRouter::Implementation::Implementation(const RouterSettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_pool(settings, seed)
    , m_queue(settings.initialServiceTime)
    , m_admission(settings, seed + admissionSeedOffset)
    , m_retryBudget(settings.retryRatio, settings.retryBurst)
    , m_silence(settings)
{
}

void RequestRouter::Implementation::onRequest(const RequestInfo &request, Core::Instant now)
{
    if (m_requests.contains(request.id))
        throw Core::NotDoneError("route", request.id.text(), "a request of this id is in progress");
    TrackedRequest &tracked = m_requests[request.id];
    tracked.info = request;
    if (m_isLeaving) {
        giveUp(tracked, "this entry VM is leaving", now);
        return;
    }
    admit(tracked, now);
    dispatch(now);
}

void RequestRouter::Implementation::onCallerGone(const Core::RequestId &request, Core::Instant now)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end())
        return;
    TrackedRequest &tracked = found->second;
    if (tracked.stage == TrackedRequest::Stage::Queued) {
        giveUp(tracked, "the caller has gone", now);
        return;
    }
    // The outcome of a request with an idempotency key is stored for repetitions, so the answer is
    // awaited although the caller is gone.
    if (!tracked.info.key.empty())
        return;
    abandon(tracked, now);
    giveUp(tracked, "the caller has gone", now);
    dispatch(now);
}

void RequestRouter::Implementation::onAttemptNotSent(const Core::RequestId &request, int attempt,
                                                     Core::Instant now)
{
    TrackedRequest *tracked = findAttempt(request, attempt);
    if (!tracked)
        return;
    if (tracked->stage == TrackedRequest::Stage::Sent)
        m_pool.onNotSent(tracked->server, now);
    else
        m_planner.onFailed(tracked->failureDomain, now);
    comeBackUnrun(*tracked, now);
}

void RequestRouter::Implementation::onSpillRefused(const Core::RequestId &request, int attempt,
                                                   Core::Instant /*retryAfter*/, Core::Instant now)
{
    TrackedRequest *tracked = findAttempt(request, attempt);
    if (!tracked || tracked->stage != TrackedRequest::Stage::SpilledOver)
        return;
    m_planner.onRefused(tracked->failureDomain, now);
    comeBackUnrun(*tracked, now);
}

void RequestRouter::Implementation::onFirstByte(const Core::RequestId &request, int attempt,
                                                Core::Instant now)
{
    TrackedRequest *tracked = findAttempt(request, attempt);
    if (!tracked || tracked->hasFirstByte)
        return;
    tracked->hasFirstByte = true;
    if (tracked->stage == TrackedRequest::Stage::Sent)
        m_silence.onFirstByte(now - tracked->sentAt);
    scheduleAttemptTimer(*tracked);
}

void RequestRouter::Implementation::onAnswer(const Core::RequestId &request, int attempt,
                                             int status, Core::Instant now)
{
    onFirstByte(request, attempt, now);
    TrackedRequest *tracked = findAttempt(request, attempt);
    if (!tracked)
        return;
    const bool isFailure = status >= firstFailureStatus;
    if (tracked->stage == TrackedRequest::Stage::Sent) {
        m_pool.onAnswered(tracked->server, tracked->sentAt, isFailure, now, m_actions);
        if (!isFailure)
            m_admission.onServiceTime(queueOf(tracked->info), now - tracked->sentAt);
        m_queue.setQuantum(m_admission.meanServiceTime());
    } else {
        m_planner.onAnswered(tracked->failureDomain);
    }
    if (isFailure && tryReserveRetry(*tracked, now))
        retry(*tracked, now);
    else
        finish(*tracked, Answered { attempt });
    dispatch(now);
}

void RequestRouter::Implementation::onAttemptBroken(const Core::RequestId &request, int attempt,
                                                    Core::Instant now)
{
    TrackedRequest *tracked = findAttempt(request, attempt);
    if (!tracked)
        return;
    if (tracked->stage == TrackedRequest::Stage::Sent)
        m_pool.onBroken(tracked->server, request, attempt, now);
    else
        m_planner.onFailed(tracked->failureDomain, now);
    if (tryReserveRetry(*tracked, now))
        retry(*tracked, now);
    else
        giveUp(*tracked, "the connection broke before the whole answer came", now);
    dispatch(now);
}

void RequestRouter::Implementation::onTimer(Core::Instant now)
{
    m_pool.onTimer(now, m_actions);
    while (const Core::RequestId *due = m_timers.due(now)) {
        TrackedRequest &tracked = m_requests.at(*due);
        onRequestTimer(tracked, now);
    }
    dispatch(now);
}

void RequestRouter::Implementation::dispatch(Core::Instant now)
{
    drainUnservable(now);
    while (const QueuedRequest *next = m_queue.peek()) {
        TrackedRequest &tracked = m_requests.at(next->id);
        if (latestStart(tracked) < now) {
            giveUp(tracked, "too late to be answered before the deadline", now);
            continue;
        }
        const std::optional<Core::VmId> server
            = m_pool.choose(tracked.triedServers, tracked.info.isIdempotent, now);
        if (!server)
            return;
        m_queue.pop();
        send(tracked, *server, now);
    }
}

RouteActions RequestRouter::Implementation::takeActions()
{
    return std::exchange(m_actions, {});
}

TrackedRequest *RequestRouter::Implementation::findAttempt(const Core::RequestId &request,
                                                           int attempt)
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end())
        return nullptr;
    TrackedRequest &tracked = found->second;
    const bool isCurrent
        = tracked.attempt == attempt && tracked.stage != TrackedRequest::Stage::Queued;
    return isCurrent ? &tracked : nullptr;
}

Core::TeamId RequestRouter::Implementation::queueOf(const RequestInfo &request) const
{
    return m_settings.isFair ? request.team : Core::TeamId();
}

Core::Duration RequestRouter::Implementation::expectedService(const TrackedRequest &request) const
{
    return m_admission.serviceTimeOf(queueOf(request.info));
}

Core::Instant RequestRouter::Implementation::latestStart(const TrackedRequest &request) const
{
    return request.info.deadline - expectedService(request);
}

void RequestRouter::Implementation::admit(TrackedRequest &request, Core::Instant now)
{
    const std::optional<Core::Duration> wait
        = m_admission.queueWait(m_queue, queueOf(request.info), m_pool.usableSlots());
    if (trySpillOver(request, wait, now))
        return;
    if (const auto reason = reasonToRefuse(request, wait, now)) {
        giveUp(request, *reason, now);
        return;
    }
    enqueue(request, false);
    makeRoom(now);
}

std::optional<std::string> RequestRouter::Implementation::reasonToRefuse(
    const TrackedRequest &request, std::optional<Core::Duration> wait, Core::Instant now) const
{
    if (request.info.deadline <= now)
        return "the deadline has passed";
    if (!wait)
        return "no backend server can take requests";
    if (!m_settings.hasEarlyRefusal)
        return std::nullopt;
    if (*wait > m_settings.maximumQueueWait)
        return "the team's queue is full";
    if (now + *wait > latestStart(request))
        return "the queue is too long for the deadline";
    return std::nullopt;
}

void RequestRouter::Implementation::enqueue(TrackedRequest &request, bool isReturning)
{
    request.stage = TrackedRequest::Stage::Queued;
    const QueuedRequest queued { request.info.id, queueOf(request.info), expectedService(request) };
    if (isReturning)
        m_queue.pushFront(queued);
    else
        m_queue.pushBack(queued);
    schedule(request, latestStart(request) + Core::Duration(1));
}

void RequestRouter::Implementation::makeRoom(Core::Instant now)
{
    while (m_queue.size() > m_settings.maximumQueued) {
        const std::optional<QueuedRequest> removed = m_queue.takeNewestOfBusiest();
        giveUp(m_requests.at(removed->id), "the queue is full", now);
    }
}

void RequestRouter::Implementation::drainUnservable(Core::Instant now)
{
    if (m_queue.isEmpty() || m_pool.usableSlots() > 0)
        return;
    while (const std::optional<QueuedRequest> next = m_queue.pop()) {
        TrackedRequest &tracked = m_requests.at(next->id);
        if (!trySpillOver(tracked, std::nullopt, now))
            giveUp(tracked, "no backend server can take requests", now);
    }
}

void RequestRouter::Implementation::send(TrackedRequest &request, const Core::VmId &server,
                                         Core::Instant now)
{
    if (request.attempt == 0)
        m_retryBudget.onFirstAttempt();
    ++request.attempt;
    ++request.possibleRuns;
    request.stage = TrackedRequest::Stage::Sent;
    request.server = server;
    request.sentAt = now;
    request.hasFirstByte = false;
    request.isSilenceHandled = false;
    request.triedServers.push_back(server);
    m_pool.onSent(server, now);
    scheduleAttemptTimer(request);
    m_actions.push_back(Send { request.info.id, request.attempt, server, request.info.deadline });
}

bool RequestRouter::Implementation::trySpillOver(TrackedRequest &request,
                                                 std::optional<Core::Duration> localWait,
                                                 Core::Instant now)
{
    if (request.info.isSpilledOver || request.attempt >= maximumUnrunAttempts)
        return false;
    const Core::Duration remaining = latestStart(request) - now;
    const Core::Duration limit
        = std::min(localWait.value_or(remaining) - m_settings.spillOverMargin, remaining);
    const std::optional<SpillOverOption> option = m_planner.choose(limit, now);
    if (!option)
        return false;
    ++request.attempt;
    ++request.possibleRuns;
    request.stage = TrackedRequest::Stage::SpilledOver;
    request.failureDomain = option->failureDomain;
    request.sentAt = now;
    request.hasFirstByte = false;
    request.isSilenceHandled = false;
    m_planner.onSent(option->failureDomain);
    scheduleAttemptTimer(request);
    m_actions.push_back(SpillOver { request.info.id, request.attempt, option->failureDomain,
                                    request.info.deadline });
    return true;
}

bool RequestRouter::Implementation::tryReserveRetry(const TrackedRequest &request,
                                                    Core::Instant now)
{
    if (!request.info.isIdempotent || request.attempt >= m_settings.maximumAttempts)
        return false;
    if (latestStart(request) <= now)
        return false;
    return m_retryBudget.tryWithdraw();
}

void RequestRouter::Implementation::retry(TrackedRequest &request, Core::Instant now)
{
    // If no server is left, dispatch() spills the request over or gives it up.
    enqueue(request, true);
    dispatch(now);
}

void RequestRouter::Implementation::comeBackUnrun(TrackedRequest &request, Core::Instant now)
{
    --request.possibleRuns;
    if (request.attempt >= maximumUnrunAttempts)
        giveUp(request, "no backend server could be reached", now);
    else
        admit(request, now);
    dispatch(now);
}

void RequestRouter::Implementation::abandon(TrackedRequest &request, Core::Instant now)
{
    if (request.stage == TrackedRequest::Stage::Sent) {
        m_pool.onAbandoned(request.server, request.info.id, request.attempt, request.sentAt, now);
        m_actions.push_back(Abandon { request.info.id, request.attempt, request.server });
        return;
    }
    m_planner.onFailed(request.failureDomain, now);
    m_actions.push_back(Abandon { request.info.id, request.attempt, Core::VmId() });
}

void RequestRouter::Implementation::onRequestTimer(TrackedRequest &request, Core::Instant now)
{
    if (request.stage == TrackedRequest::Stage::Queued) {
        giveUp(request, "too late to be answered before the deadline", now);
        return;
    }
    if (now >= request.info.deadline) {
        abandon(request, now);
        giveUp(request, "no answer came before the deadline", now);
        return;
    }
    onSilence(request, now);
}

void RequestRouter::Implementation::onSilence(TrackedRequest &request, Core::Instant now)
{
    request.isSilenceHandled = true;
    if (request.stage == TrackedRequest::Stage::Sent)
        m_pool.onSilence(request.server, now, m_actions);
    if (!tryReserveRetry(request, now)) {
        scheduleAttemptTimer(request);
        return;
    }
    abandon(request, now);
    retry(request, now);
}

Core::Duration RequestRouter::Implementation::silenceThreshold(const TrackedRequest &request) const
{
    if (request.stage == TrackedRequest::Stage::Sent)
        return m_silence.threshold();
    // The other failure domain may queue the request as long as this one would.
    return m_silence.threshold() + m_settings.maximumQueueWait;
}

void RequestRouter::Implementation::scheduleAttemptTimer(TrackedRequest &request)
{
    const bool isSilenceAwaited
        = m_settings.hasFaultDetection && !request.hasFirstByte && !request.isSilenceHandled;
    const Core::Instant deadline = request.info.deadline;
    schedule(request,
             isSilenceAwaited ? std::min(deadline, request.sentAt + silenceThreshold(request))
                              : deadline);
}

void RequestRouter::Implementation::schedule(TrackedRequest &request, Core::Instant at)
{
    if (request.timer)
        m_timers.cancel(*request.timer);
    request.timer = m_timers.schedule(at, request.info.id);
}

void RequestRouter::Implementation::giveUp(TrackedRequest &request, const std::string &reason,
                                           Core::Instant now)
{
    if (request.possibleRuns > 0) {
        finish(request, UnknownOutcome { reason });
        return;
    }
    const Core::Instant retryAfter
        = m_admission.retryAfter(m_queue, queueOf(request.info), m_pool.usableSlots(), now);
    finish(request, RefusedNotRun { retryAfter, reason });
}

void RequestRouter::Implementation::finish(TrackedRequest &request, const Outcome &outcome)
{
    if (request.timer)
        m_timers.cancel(*request.timer);
    m_queue.remove(request.info.id);
    m_actions.push_back(Finish { request.info.id, outcome });
    // Copied, since erasing the entry would destroy the ID that is being passed.
    const Core::RequestId id = request.info.id;
    m_requests.erase(id);
}

} // namespace Routing
