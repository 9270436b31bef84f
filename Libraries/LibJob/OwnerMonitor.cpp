#include <LibJob/OwnerMonitor.h>

#include <LibCore/StableHash.h>

#include <algorithm>

namespace Jobs {

/// After a longer gap between two reads the owner's timeout starts again, since its writes couldn't
/// be seen.
static constexpr Core::Duration maxReadGap = std::chrono::milliseconds(1200);
static constexpr int graceTimeoutFactor = 2;
/// Shortens the jitter after a release, when no node is acting as the owner.
static constexpr int releasedJitterDivisor = 3;
static constexpr double minOwnerLinkMegabitsPerSecond = 50;
/// Exceeds the jitter, so that nodes with more bandwidth have had their chance to claim.
static constexpr Core::Duration slowLinkClaimDelay = std::chrono::milliseconds(600);
static constexpr double minOwnerProcessorShare = 0.25;
/// Exceeds the time by which the first reads of restarted nodes lie apart.
static constexpr Core::Duration smallNodeClaimDelay = std::chrono::seconds(3);

OwnerMonitor::OwnerMonitor(std::string node, const OwnerMonitorSettings &settings)
    : m_node(std::move(node))
    , m_settings(settings)
{
}

bool OwnerMonitor::isOwner() const
{
    return m_claim && m_claim->node == m_node && !m_claim->isReleased;
}

void OwnerMonitor::noteClaim(std::int64_t offset, const OwnerClaim &claim, Core::Instant now)
{
    if (offset <= m_claimOffset)
        return;
    m_claimOffset = offset;
    const bool isTakeover = m_claim && !m_claim->isReleased && claim.term > m_claim->term;
    if (isTakeover)
        m_graceEndsAt = now + m_settings.takeoverGrace;
    m_claim = claim;
    m_formerOwnerSeenAt = std::max(m_formerOwnerSeenAt, m_lastOwnerWriteAt);
    m_lastOwnerWriteAt = std::max(m_lastOwnerWriteAt, now);
}

void OwnerMonitor::noteOwnerWrite(Core::Instant now)
{
    m_lastOwnerWriteAt = std::max(m_lastOwnerWriteAt, now);
    m_formerOwnerSeenAt = std::max(m_formerOwnerSeenAt, now);
}

void OwnerMonitor::noteRead(bool isAnswered, Core::Instant now)
{
    m_isReadable = isAnswered;
    if (!isAnswered)
        return;
    // The owner's writes couldn't be observed during the gap, so its timeout starts again.
    if (now - m_lastReadAt > maxReadGap)
        m_lastOwnerWriteAt = std::max(m_lastOwnerWriteAt, now);
    m_lastReadAt = now;
}

Core::Duration OwnerMonitor::claimJitter() const
{
    const std::int64_t term = m_claim ? m_claim->term : 0;
    const std::uint64_t hash = Core::stableHash(m_node + '/' + std::to_string(term));
    const auto maxJitter = static_cast<std::uint64_t>(m_settings.maxClaimJitter.count());
    return Core::Duration(static_cast<std::int64_t>(hash % (maxJitter + 1)));
}

Core::Duration OwnerMonitor::ownerTimeout() const
{
    const bool isInGrace = m_lastOwnerWriteAt < m_graceEndsAt;
    return isInGrace ? graceTimeoutFactor * m_settings.ownerTimeout : m_settings.ownerTimeout;
}

Core::Duration OwnerMonitor::suitabilityDelay() const
{
    const bool isLinkSlow = m_settings.linkMegabitsPerSecond < minOwnerLinkMegabitsPerSecond;
    if (!isLinkSlow)
        return Core::Duration(0);
    const bool isSmall = m_settings.processorShare < minOwnerProcessorShare;
    return isSmall ? smallNodeClaimDelay : slowLinkClaimDelay;
}

std::optional<Core::Instant> OwnerMonitor::claimAt() const
{
    if (!m_isReadable)
        return std::nullopt;
    if (isOwner())
        return m_lastOwnerWriteAt;
    if (!m_claim || m_claim->isReleased)
        return m_lastOwnerWriteAt + claimJitter() / releasedJitterDivisor + suitabilityDelay();
    return m_lastOwnerWriteAt + ownerTimeout() + claimJitter() + suitabilityDelay();
}

} // namespace Jobs
