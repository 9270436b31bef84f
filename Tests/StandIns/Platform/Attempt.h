#pragma once

#include <LibCore/Resources.h>
#include <LibCore/Time.h>

#include <json/value.h>

#include <cstdint>
#include <string>
#include <utility>

namespace StandIn {

/// The task and the number of the attempt.
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
    /// What it really uses, which may differ from what was declared.
    Core::Resources used;
    /// How much undisturbed run time the whole task takes; zero runs until it is stopped.
    Core::Duration runTime {};
    bool isFailing = false;
    /// The part of the run time that is done.
    Core::Duration progress {};
    /// The progress that the newest checkpoint holds.
    Core::Duration checkpointed {};
    int throttlePercent = 100;
    Phase phase = Phase::Running;
    std::string detail;
    Core::Instant startedAt;
    Core::Instant leaseDeadline;

    bool operator==(const Attempt &) const = default;

    /// Reads the command of a start. \throws Core::FormatError
    static Attempt fromJson(const std::string &worker, const Json::Value &command,
                            Core::Instant now);

    /// The report in the wire's format.
    Json::Value report(double slowdown, Core::Instant now) const;
};

/// \throws Core::FormatError
AttemptName attemptNameFromJson(const Json::Value &value);

} // namespace StandIn
