#pragma once

#include "TraceEvent.h"

#include <json/value.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Load {

/// How a request ended for its caller.
enum class Ending {
    /// The backend server's whole answer.
    Answered,
    /// Refused with the promise that it didn't run.
    NotRun,
    /// The daemon says that it may or may not have run.
    Unknown,
    /// The backend server's own error.
    BackendError,
    /// The connection broke, or nothing came in time.
    NoAnswer,
    /// No door was healthy or took the request; nothing was sent.
    NoDoor,
    /// The load program itself had too much under way and didn't send it.
    NotSent,
};

struct RequestResult
{
    std::string id;
    std::string team;
    std::string taskClass;
    bool isIdempotent = true;
    Ending ending = Ending::NoAnswer;
    /// Since the moment at which the trace has it sent.
    Core::Duration latency {};
    bool isInTime = false;
    /// True if the answer is to another request.
    bool isForeign = false;
    int sendings = 0;
};

struct JobResult
{
    std::string id;
    std::string team;
    bool isAccepted = false;
    /// The last state that was seen.
    std::string state;
    /// Since the moment at which the trace has it submitted; negative if it wasn't seen.
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

/// The report for people, a few lines.
std::string toText(const Json::Value &report);

} // namespace Load
