#include "LoadRun.h"

#include <LibCore/Error.h>
#include <LibCore/Json.h>
#include <LibCore/StableHash.h>
#include <LibCore/SteadyClock.h>
#include <LibCore/WallClock.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cstdio>

namespace Load {

namespace asio = boost::asio;

/// Time after a request's deadline for which the caller waits for the daemon's final response.
static constexpr Core::Duration answerGrace = std::chrono::seconds(2);
static constexpr Core::Duration jobCallTimeLimit = std::chrono::seconds(5);
/// Delay before a rejected request is retried if the response has no Retry-After header.
static constexpr Core::Duration defaultRetryPause = std::chrono::milliseconds(50);

LoadRun::LoadRun(RunSettings settings, const std::vector<TraceEvent> &events)
    : m_settings(std::move(settings))
    , m_events(events)
    , m_balancer(m_context.get_executor(), m_settings.entryVms)
{
}

void LoadRun::run()
{
    m_start = Core::steadyNow();
    m_startUnixMs = Core::unixMillisecondsNow();
    const Core::Duration length = m_events.empty() ? Core::Duration() : m_events.back().at;
    m_end = m_start + length + m_settings.jobWait;
    asio::co_spawn(m_context, m_balancer.watchHealth(m_start + length), asio::detached);
    asio::co_spawn(m_context, dispatch(), asio::detached);
    m_context.run();
}

asio::awaitable<void> LoadRun::dispatch()
{
    asio::steady_timer timer(m_context);
    for (const TraceEvent &event : m_events) {
        timer.expires_at(Core::toSteadyTimePoint(m_start + event.at));
        co_await timer.async_wait(asio::use_awaitable);
        spawn(event);
    }
}

void LoadRun::spawn(const TraceEvent &event)
{
    if (m_underWay >= m_settings.maximumUnderWay) {
        RequestResult result { event.id, event.team, event.taskClass, event.isIdempotent };
        result.ending = Ending::NotSent;
        m_recorder.add(std::move(result));
        return;
    }
    ++m_underWay;
    asio::co_spawn(m_context, perform(event), [this](const std::exception_ptr &failure) {
        --m_underWay;
        if (failure)
            std::rethrow_exception(failure);
    });
}

asio::awaitable<void> LoadRun::perform(const TraceEvent &event)
{
    if (event.kind == EventKind::Request)
        co_await performRequest(event);
    else if (event.kind == EventKind::Job)
        co_await performJob(event);
    else
        co_await performCancel(event);
}

asio::awaitable<void> LoadRun::pause(Core::Duration time)
{
    asio::steady_timer timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<void> LoadRun::performRequest(const TraceEvent &event)
{
    const Core::Instant intended = m_start + event.at;
    const Core::Instant deadline = intended + event.timeLimit;
    RequestResult result { event.id, event.team, event.taskClass, event.isIdempotent };
    for (int attempt = 0; attempt <= m_settings.retries; ++attempt) {
        Core::Duration retryAfter = defaultRetryPause;
        co_await sendOnce(event, deadline, result, retryAfter);
        const bool mayRepeat
            = result.ending == Ending::NotRun || result.ending == Ending::NoEntryVm;
        if (!mayRepeat || Core::steadyNow() + retryAfter >= deadline)
            break;
        if (attempt < m_settings.retries)
            co_await pause(retryAfter);
    }
    const Core::Instant now = Core::steadyNow();
    result.latency = now - intended;
    result.isInTime = now <= deadline;
    m_recorder.add(std::move(result));
}

/// A UUIDv7 (RFC 9562, section 5.7) for the key that the trace names \p label, issued at
/// \p unixMs: the same in every repetition of one run, and new in another run.
static std::string makeKey(const std::string &label, std::int64_t unixMs)
{
    static constexpr std::uint64_t twelveBits = 0xfff;
    static constexpr std::uint64_t fourteenBits = 0x3fff;
    static constexpr std::uint64_t sixteenBits = 0xffff;
    static constexpr std::uint64_t variant = 0x8000;
    const auto time = static_cast<std::uint64_t>(unixMs);
    const std::uint64_t hash = Core::stableHash(label);
    const std::uint64_t more = Core::stableHash(label + '+');
    char text[64];
    std::snprintf(text, sizeof text, "%08llx-%04llx-7%03llx-%04llx-%012llx",
                  static_cast<unsigned long long>(time >> 16),
                  static_cast<unsigned long long>(time & sixteenBits),
                  static_cast<unsigned long long>(hash & twelveBits),
                  static_cast<unsigned long long>(variant | ((hash >> 12) & fourteenBits)),
                  static_cast<unsigned long long>(more & 0xffffffffffffULL));
    return text;
}

static EntryVmRequest makeRequest(const TraceEvent &event, Core::Instant deadline,
                                  std::int64_t startUnixMs)
{
    using std::chrono::milliseconds;
    const auto left = std::chrono::floor<milliseconds>(deadline - Core::steadyNow()).count();
    const auto service = std::chrono::duration_cast<milliseconds>(event.service).count();
    EntryVmRequest request;
    request.method = event.method;
    request.target = "/service/load/" + event.id;
    request.headers = { { "Lagoonford-Team", event.team },
                        { "Lagoonford-Deadline-Ms", std::to_string(std::max<long>(left, 1)) },
                        { "Lagoonford-Request-Id", event.id },
                        { "X-Service-Ms", std::to_string(service) } };
    if (!event.key.empty())
        request.headers.emplace_back(
            "Idempotency-Key",
            makeKey(event.key, startUnixMs + std::chrono::floor<milliseconds>(event.at).count()));
    return request;
}

static Ending endingOf(const EntryVmResponse &answer)
{
    if (answer.outcome == "not-run")
        return Ending::NotRun;
    if (answer.outcome == "unknown")
        return Ending::Unknown;
    return answer.status < 300 ? Ending::Answered : Ending::BackendError;
}

asio::awaitable<void> LoadRun::sendOnce(const TraceEvent &event, Core::Instant deadline,
                                        RequestResult &result, Core::Duration &retryAfter)
{
    EntryVmClient *entryVm = m_balancer.next();
    if (!entryVm) {
        result.ending = Ending::NoEntryVm;
        co_return;
    }
    EntryVmRequest request = makeRequest(event, deadline, m_startUnixMs);
    ++result.sendings;
    try {
        const EntryVmResponse answer
            = co_await entryVm->call(std::move(request), deadline + answerGrace);
        result.ending = endingOf(answer);
        result.isForeign = result.ending == Ending::Answered
            && answer.body.find(event.id + '"') == std::string::npos;
        if (answer.retryAfter.count() > 0)
            retryAfter = answer.retryAfter;
    } catch (const Core::NotDoneError &) {
        result.ending = Ending::NoEntryVm;
    } catch (const Core::OutcomeUnknownError &) {
        result.ending = Ending::NoAnswer;
    }
}

static std::string encodeJob(const TraceEvent &event)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    Json::Value payload;
    payload["runMs"] = Json::Int64(duration_cast<milliseconds>(event.realRun).count());
    payload["fail"] = event.isFailing;
    Json::Value job;
    job["id"] = event.id;
    job["team"] = event.team;
    job["class"] = event.taskClass;
    job["milliCores"] = Json::Int64(event.declared.milliCores);
    job["mebibytes"] = Json::Int64(event.declared.mebibytes);
    job["accelerators"] = Json::Int64(event.declared.accelerators);
    job["expectedRunMs"] = Json::Int64(duration_cast<milliseconds>(event.expectedRun).count());
    job["payload"] = Core::Json::write(payload);
    return Core::Json::write(job);
}

asio::awaitable<void> LoadRun::performJob(const TraceEvent &event)
{
    JobResult result;
    result.id = event.id;
    result.team = event.team;
    co_await submit(event, result);
    co_await follow(event, result);
    m_recorder.add(std::move(result));
}

asio::awaitable<void> LoadRun::submit(const TraceEvent &event, JobResult &result)
{
    EntryVmClient *entryVm = m_balancer.next();
    if (!entryVm) {
        result.state = "no door";
        co_return;
    }
    EntryVmRequest request;
    request.method = "POST";
    request.target = "/jobs";
    request.headers = { { "Content-Type", "application/json" } };
    request.body = encodeJob(event);
    try {
        const EntryVmResponse answer
            = co_await entryVm->call(std::move(request), Core::steadyNow() + jobCallTimeLimit);
        result.isAccepted = answer.status == 201;
        if (result.isAccepted)
            result.untilAccepted = Core::steadyNow() - (m_start + event.at);
        else
            result.state = "status " + std::to_string(answer.status);
    } catch (const Core::Error &) {
        result.state = "unknown";
    }
}

asio::awaitable<void> LoadRun::follow(const TraceEvent &event, JobResult &result)
{
    // A submission with an unknown outcome may have been accepted.
    bool isFollowed = result.isAccepted || result.state == "unknown";
    while (isFollowed && Core::steadyNow() < m_end) {
        co_await pause(m_settings.jobPollInterval);
        const std::string state = co_await readState(event.id);
        if (state.empty())
            continue;
        result.state = state;
        const Core::Duration sinceSubmission = Core::steadyNow() - (m_start + event.at);
        const bool hasEnded = state == "finished" || state == "failed" || state == "cancelled";
        if (result.untilRunning.count() < 0 && (state == "running" || state == "finished"))
            result.untilRunning = sinceSubmission;
        if (hasEnded)
            result.untilEnded = sinceSubmission;
        isFollowed = !hasEnded;
    }
}

/// Returns the job's state; empty if no daemon could be asked.
asio::awaitable<std::string> LoadRun::readState(const std::string &id)
{
    EntryVmClient *entryVm = m_balancer.next();
    if (!entryVm)
        co_return std::string();
    try {
        EntryVmRequest request { "GET", "/jobs/" + id, {}, {} };
        const EntryVmResponse answer
            = co_await entryVm->call(std::move(request), Core::steadyNow() + jobCallTimeLimit);
        if (answer.status != 200)
            co_return std::string();
        co_return Core::Json::stringMember(Core::Json::parse(answer.body, id), "state");
    } catch (const Core::Error &) {
        co_return std::string();
    }
}

asio::awaitable<void> LoadRun::performCancel(const TraceEvent &event)
{
    EntryVmClient *entryVm = m_balancer.next();
    if (!entryVm)
        co_return;
    try {
        EntryVmRequest request { "DELETE", "/jobs/" + event.id, {}, {} };
        co_await entryVm->call(std::move(request), Core::steadyNow() + jobCallTimeLimit);
    } catch (const Core::Error &) {
        // The outcome is read from the job's state.
    }
}

} // namespace Load
