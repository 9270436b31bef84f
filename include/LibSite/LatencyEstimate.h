#pragma once

#include <LibCore/Time.h>

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

/// The latency that appends are expected to have, and the measurement on which that rests.
struct LatencyEstimate
{
    Core::Duration latency = {};
    LatencySource source = LatencySource::None;
    /// When the latency became known, on the steady clock.
    Core::Instant measuredAt = {};

    bool operator==(const LatencyEstimate &) const = default;
};

} // namespace Site
