#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace Site {

/// What a latency was measured from.
enum class LatencySource {
    /// Nothing was measured.
    None,
    /// The node's own appends.
    OwnAppends,
    /// What the owner last reported of its appends.
    OwnerReport,
};

/// The source's name in logs and metrics.
constexpr const char *latencySourceText(LatencySource source)
{
    switch (source) {
    case LatencySource::None:
        return "none";
    case LatencySource::OwnAppends:
        return "own-appends";
    case LatencySource::OwnerReport:
        return "owner-report";
    }
    return "unknown";
}

/// The latency that appends are expected to have, and the measurement on which that rests. Only an
/// append measures again, so an old estimate must not keep appends from being tried.
struct LatencyEstimate
{
    /// An older measurement says nothing about the next append.
    static constexpr Core::Duration maxAge = std::chrono::seconds(1);

    Core::Duration latency = {};
    LatencySource source = LatencySource::None;
    /// When the latency became known, on the steady clock.
    Core::Instant measuredAt = {};

    /// True if the latency was measured at most `maxAge` before \p now.
    bool isCurrent(Core::Instant now) const
    {
        return source != LatencySource::None && now <= measuredAt + maxAge;
    }

    bool operator==(const LatencyEstimate &) const = default;
};

/// The latency of a call that began at \p beganAt and whose end was noticed at \p now. Nothing if
/// that was long after the call's \p deadline: a running process notices the end of each call by
/// then, so this one was paused, and the time doesn't tell how fast the other side is.
std::optional<Core::Duration> measureLatency(Core::Instant beganAt, Core::Instant deadline,
                                             Core::Instant now);

} // namespace Site
