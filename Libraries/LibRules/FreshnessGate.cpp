#include <LibRules/FreshnessGate.h>

#include <algorithm>

namespace Rules {

/// The rates of two VMs' clocks may differ by one part in this many.
static constexpr int driftDivisor = 1'000;

void FreshnessGate::onEndRead(Core::Instant readBegan)
{
    m_freshAsOf = m_freshAsOf ? std::max(*m_freshAsOf, readBegan) : readBegan;
}

void FreshnessGate::onPeerAnswer(Core::Instant askedAt, Core::Duration age)
{
    // The peer answered after it was asked, so its read began no earlier than this.
    onEndRead(askedAt - age - age / driftDivisor);
}

std::optional<Core::Instant> FreshnessGate::freshUntil() const
{
    if (!m_freshAsOf)
        return std::nullopt;
    return *m_freshAsOf + m_maximumAge;
}

bool FreshnessGate::isFresh(Core::Instant now) const
{
    const auto until = freshUntil();
    return until && now < *until;
}

} // namespace Rules
