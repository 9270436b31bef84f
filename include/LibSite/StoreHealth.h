#pragma once

#include <LibCore/Time.h>

namespace Site {

/// Judges from the outcomes of calls whether the store can be reached from here. Before the first
/// outcome it is taken to be.
class StoreHealth
{
public:
    /// True if that changed the judgement.
    bool noteSuccess(Core::Instant now);
    bool noteFailure(Core::Instant now);

    bool isReachable() const { return m_isReachable; }
    Core::Instant changedAt() const { return m_changedAt; }

private:
    bool m_isReachable = true;
    int m_failuresInARow = 0;
    Core::Instant m_changedAt = {};
};

} // namespace Site
