#pragma once

#include <LibCore/Time.h>

namespace Site {

/// Decides from the outcomes of calls whether this node can reach the store. The store counts as
/// reachable before the first outcome. Instants are on the steady clock.
class StoreHealth
{
public:
    /// Returns true if the store has become reachable by this outcome.
    bool noteSuccess(Core::Instant now);
    /// Returns true if the store has become unreachable by this outcome.
    bool noteFailure(Core::Instant now);

    bool isReachable() const { return m_isReachable; }
    /// When the store last became reachable or unreachable.
    Core::Instant changedAt() const { return m_changedAt; }

private:
    bool m_isReachable = true;
    int m_consecutiveFailures = 0;
    Core::Instant m_changedAt = {};
};

} // namespace Site
