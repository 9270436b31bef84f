#pragma once

#include "Balancer.h"
#include "Recorder.h"

#include <boost/asio/io_context.hpp>

namespace Load {

struct RunSettings
{
    std::vector<boost::asio::ip::tcp::endpoint> entryVms;
    /// Maximum number of concurrent events; further ones aren't sent.
    std::size_t maximumUnderWay = 5000;
    /// Maximum number of retries of a request that was rejected without being executed, within its
    /// deadline.
    int retries = 0;
    /// How long jobs are polled after the last event.
    Core::Duration jobWait = std::chrono::seconds(30);
    Core::Duration jobPollInterval = std::chrono::milliseconds(200);
};

/// Replays a trace as an open loop: each event is sent at its time, whether or not earlier ones
/// have ended.
class LoadRun
{
public:
    LoadRun(RunSettings settings, const std::vector<TraceEvent> &events);

    /// Returns once all events have ended. The duration is bounded by the length of the trace, the
    /// deadlines and the time for which jobs are polled.
    void run();

    const Recorder &recorder() const { return m_recorder; }

private:
    boost::asio::awaitable<void> dispatch();
    void spawn(const TraceEvent &event);
    boost::asio::awaitable<void> perform(const TraceEvent &event);
    boost::asio::awaitable<void> performRequest(const TraceEvent &event);
    boost::asio::awaitable<void> sendOnce(const TraceEvent &event, Core::Instant deadline,
                                          RequestResult &result, Core::Duration &retryAfter);
    boost::asio::awaitable<void> performJob(const TraceEvent &event);
    boost::asio::awaitable<void> submit(const TraceEvent &event, JobResult &result);
    boost::asio::awaitable<void> follow(const TraceEvent &event, JobResult &result);
    boost::asio::awaitable<std::string> readState(const std::string &id);
    boost::asio::awaitable<void> performCancel(const TraceEvent &event);
    boost::asio::awaitable<void> pause(Core::Duration time);

    RunSettings m_settings;
    const std::vector<TraceEvent> &m_events;
    boost::asio::io_context m_context;
    Balancer m_balancer;
    Recorder m_recorder;
    Core::Instant m_start;
    /// `m_start` in milliseconds since 1970, for the issue times of keys.
    std::int64_t m_startUnixMs = 0;
    Core::Instant m_end;
    std::size_t m_underWay = 0;
};

} // namespace Load
