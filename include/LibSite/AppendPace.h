#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace Site {

/// The latency of the owner's appends, and the limits that follow from it. The owner's heartbeats
/// measure it again, whatever callers request. Instants are on the steady clock.
class AppendPace
{
public:
    void begin(Core::Instant now);
    /// The append has succeeded.
    void end(Core::Instant now);
    /// The append was refused or wasn't answered. A refusal may come at once, so that this never
    /// lowers the latency.
    void fail(Core::Instant now);

    /// The recent latency: the larger of the last one and half of the former value, so that one
    /// fast append doesn't hide a slow period. An append counts with its time limit at most: if its
    /// end was noticed later, this process was paused or busy.
    Core::Duration latency() const { return m_latency; }
    /// How long the append in flight has been unanswered; nothing if there is none.
    std::optional<Core::Duration> inFlightFor(Core::Instant now) const;
    /// An append that isn't answered within this time is sent again.
    Core::Duration repetitionDelay() const;
    /// An append that isn't answered within this time has failed.
    Core::Duration timeLimit() const;

private:
    /// How long the append in flight has taken, as far as it counts.
    Core::Duration countedTime(Core::Instant now) const;

    Core::Duration m_latency = {};
    std::optional<Core::Instant> m_beganAt;
};

} // namespace Site
