#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>

#include <json/value.h>

#include <cstdint>
#include <string>
#include <utility>

namespace StandIn {

/// Identifies an attempt by its task and number.
using AttemptName = std::pair<std::string, std::int64_t>;

enum class Phase {
    Running,
    Finished,
    Failed,
    Stopped,
};

/// One attempt on a simulated worker.
struct Attempt
{
    AttemptName name;
    std::string worker;
    Core::Resources declared;
    /// Actual use, which may differ from what was declared.
    Core::Resources used;
    /// Run time of the whole task without interference; zero if it runs until it is stopped.
    Core::Duration runTime {};
    bool isFailing = false;
    /// The part of the run time that has been completed.
    Core::Duration progress {};
    /// The progress recorded by the latest checkpoint.
    Core::Duration checkpointed {};
    int throttlePercent = 100;
    Phase phase = Phase::Running;
    std::string detail;
    Core::Instant startedAt;
    Core::Instant leaseDeadline;

    bool operator==(const Attempt &) const = default;

    /// Decodes a start command. \throws Core::FormatError
    static Attempt fromJson(const std::string &worker, const Json::Value &command,
                            Core::Instant now);

    /// Returns the report in the wire format.
    Json::Value report(double slowdown, Core::Instant now) const;
};

/// \throws Core::FormatError
AttemptName attemptNameFromJson(const Json::Value &value);

} // namespace StandIn
