#pragma once

#include <LibCore/Time.h>

namespace Site {

/// Spaces out the turns of the owner's loop, so that turns take at most about half of the loop's
/// time however often they are requested, and decides when a heartbeat must be sent before a turn.
/// Instants are on the steady clock.
class TurnPacer
{
public:
    void noteTurn(Core::Instant beganAt, Core::Instant endedAt);
    /// When the next turn may begin.
    Core::Instant nextTurnAt() const { return m_nextTurnAt; }
    /// True if a heartbeat that is due at \p heartbeatAt would be late if a turn as long as the
    /// last one began at \p now.
    bool isHeartbeatFirst(Core::Instant now, Core::Instant heartbeatAt) const;

private:
    Core::Instant m_nextTurnAt = {};
    Core::Duration m_lastTurnDuration = {};
};

} // namespace Site
