#include <LibSite/TurnPacer.h>

#include <algorithm>

namespace Site {

static constexpr Core::Duration minTurnPause = std::chrono::milliseconds(2);
/// Limits how long a decision waits for the next turn.
static constexpr Core::Duration maxTurnPause = std::chrono::milliseconds(50);

void TurnPacer::noteTurn(Core::Instant beganAt, Core::Instant endedAt)
{
    m_lastTurnDuration = endedAt - beganAt;
    m_nextTurnAt = endedAt + std::clamp(m_lastTurnDuration, minTurnPause, maxTurnPause);
}

bool TurnPacer::isHeartbeatFirst(Core::Instant now, Core::Instant heartbeatAt) const
{
    return now + m_lastTurnDuration >= heartbeatAt;
}

} // namespace Site
