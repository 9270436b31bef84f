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
    /// Cancels the job with the ID `id`.
    Cancel,
};

/// One line of a trace: an action of a caller at a given time.
struct TraceEvent
{
    /// Time from the start of the trace.
    Core::Duration at {};
    EventKind kind = EventKind::Request;
    /// The request ID, or the job ID for a submission or cancellation.
    std::string id;
    std::string team;
    std::string taskClass;

    std::string method = "GET";
    bool isIdempotent = true;
    /// Processing time at the backend server.
    Core::Duration service {};
    /// Time limit of the caller, which is also sent to the daemon.
    Core::Duration timeLimit {};
    /// The idempotency key; may be empty.
    std::string key;

    Core::Resources declared;
    /// Run time that the caller declares.
    Core::Duration expectedRun {};
    /// Actual run time, for the worker's stand-in.
    Core::Duration realRun {};
    bool isFailing = false;

    bool operator==(const TraceEvent &) const = default;
};

/// Reads one JSON object per line and returns the events in chronological order. An event without
/// an ID gets one from its line number. \throws Core::FormatError that names the line.
std::vector<TraceEvent> readTrace(std::istream &stream, const std::string &file);

std::string toLine(const TraceEvent &event);

} // namespace Load
