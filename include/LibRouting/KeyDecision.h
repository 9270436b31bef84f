#pragma once

#include <LibRouting/Outcome.h>

#include <string>
#include <variant>

namespace Routing {

/// The stored outcome of a request with an idempotency key, which repetitions get as the answer.
struct StoredOutcome
{
    int status = 0;
    /// The answer's headers and body as the shell wrote them; empty if they were too large to keep.
    std::string answer;
    /// True if the outcome is unknown: the request may have run.
    bool mayHaveRun = false;

    bool operator==(const StoredOutcome &) const = default;
};

/// The key is used for the first time: run the request, then report the outcome by
/// `KeyTable::finish`.
struct Run
{
    bool operator==(const Run &) const = default;
};

/// The first request with the key is still in progress at some entry VM; the caller should retry
/// later.
struct InProgress
{
    bool operator==(const InProgress &) const = default;
};

/// The outcome of the first request with the key.
struct Known
{
    StoredOutcome outcome;

    bool operator==(const Known &) const = default;
};

/// The key may have been used at an owner that can't be asked any more; the request isn't run.
struct RefusedMayHaveRun
{
    std::string reason;

    bool operator==(const RefusedMayHaveRun &) const = default;
};

/// The request isn't run; says nothing about earlier requests with the key.
struct RefusedKey
{
    std::string reason;

    bool operator==(const RefusedKey &) const = default;
};

using KeyDecision = std::variant<Run, InProgress, Known, RefusedMayHaveRun, RefusedKey>;

} // namespace Routing
