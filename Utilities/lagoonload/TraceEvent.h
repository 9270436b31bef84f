#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>

#include <istream>
#include <string>
#include <vector>

namespace Load {

enum class EventKind {
    Request,
    Job,
    /// Cancels the job that `id` names.
    Cancel,
};

/// One line of a trace: what a caller does, and when.
struct TraceEvent
{
    /// Since the start of the trace.
    Core::Duration at {};
    EventKind kind = EventKind::Request;
    /// Of a request, its request id; of a job or its cancellation, the job's.
    std::string id;
    std::string team;
    std::string taskClass;

    std::string method = "GET";
    bool isIdempotent = true;
    /// How long a backend server works on the request.
    Core::Duration service {};
    /// How long the caller waits; the daemon is told too.
    Core::Duration timeLimit {};
    /// The idempotency key; may be empty.
    std::string key;

    Core::Resources declared;
    /// What the caller says that the job takes.
    Core::Duration expectedRun {};
    /// What the job really takes, told to the worker's stand-in.
    Core::Duration realRun {};
    bool isFailing = false;

    bool operator==(const TraceEvent &) const = default;
};

/// Reads one JSON object a line and returns the events in order of time. An event without an id
/// gets one from its line's number. \throws Core::FormatError naming the line.
std::vector<TraceEvent> readTrace(std::istream &stream, const std::string &file);

std::string toLine(const TraceEvent &event);

} // namespace Load
