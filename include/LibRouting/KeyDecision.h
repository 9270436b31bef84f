#pragma once

#include <LibRouting/Outcome.h>

#include <string>
#include <variant>

namespace Routing {

/// What is kept of a keyed request's end, to be given to a repetition.
struct StoredOutcome
{
    int status = 0;
    /// The answer's headers and body as the shell wrote them; empty if they were too large to keep.
    std::string answer;
    /// True if the outcome is unknown: the request may have run.
    bool mayHaveRun = false;

    bool operator==(const StoredOutcome &) const = default;
};

/// First use of the key: run the request, then report the end by `KeyTable::finish`.
struct Run
{
    bool operator==(const Run &) const = default;
};

/// The first use is still in progress at some entry VM; the caller is to come back.
struct InProgress
{
    bool operator==(const InProgress &) const = default;
};

/// The first use has ended so.
struct Known
{
    StoredOutcome outcome;

    bool operator==(const Known &) const = default;
};

/// This key may have been used where we can't know of it; this repetition isn't run.
struct RefusedMayHaveRun
{
    std::string reason;

    bool operator==(const RefusedMayHaveRun &) const = default;
};

/// This use of the key isn't run, and says nothing of earlier uses.
struct RefusedKey
{
    std::string reason;

    bool operator==(const RefusedKey &) const = default;
};

using KeyDecision = std::variant<Run, InProgress, Known, RefusedMayHaveRun, RefusedKey>;

} // namespace Routing
