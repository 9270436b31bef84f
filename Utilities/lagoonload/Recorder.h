#pragma once

#include "TraceEvent.h"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Load {

/// The outcome of a request from the point of view of its caller.
enum class Ending {
    /// The backend server's response arrived completely.
    Answered,
    /// The daemon rejected the request and states that it wasn't executed.
    NotRun,
    /// The daemon states that the request may have been executed.
    Unknown,
    /// The backend server responded with an error.
    BackendError,
    /// The connection broke, or the deadline passed without a response.
    NoAnswer,
    /// No entry VM was healthy or accepted the connection; nothing was sent.
    NoEntryVm,
    /// The load program had reached its limit of concurrent events and didn't send the request.
    NotSent,
};

struct RequestResult
{
    std::string id;
    std::string team;
    std::string taskClass;
    bool isIdempotent = true;
    Ending ending = Ending::NoAnswer;
    /// Measured from the time at which the trace sends the request.
    Core::Duration latency {};
    bool isInTime = false;
    /// True if the response belongs to another request.
    bool isForeign = false;
    int sendings = 0;
};

struct JobResult
{
    std::string id;
    std::string team;
    bool isAccepted = false;
    /// The last state that a daemon reported.
    std::string state;
    /// Measured from the time at which the trace submits the job; negative if no end was seen.
    Core::Duration untilAccepted { -1 };
    Core::Duration untilRunning { -1 };
    Core::Duration untilEnded { -1 };
};

/// Collects results and summarizes them.
class Recorder
{
public:
    void add(RequestResult result) { m_requests.push_back(std::move(result)); }
    void add(JobResult result) { m_jobs.push_back(std::move(result)); }

    const std::vector<RequestResult> &requests() const { return m_requests; }

    /// Counts, and latency percentiles in milliseconds, by class and by team.
    Json::Value report() const;

private:
    Json::Value reportJobs() const;

    std::vector<RequestResult> m_requests;
    std::vector<JobResult> m_jobs;
};

/// Returns a human-readable summary of a few lines.
std::string toText(const Json::Value &report);

} // namespace Load
