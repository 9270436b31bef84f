#include <LibJob/OwnerWatch.h>

#include <LibCore/StableHash.h>

#include <algorithm>

namespace Jobs {

/// Reads that are further apart than this leave a gap in which the owner can't be judged.
static constexpr Core::Duration longestReadGap = std::chrono::milliseconds(1200);
/// After a release nobody has to be waited for.
static constexpr int releasedSpreadDivisor = 3;
static constexpr double ownersLinkMegabitsPerSecond = 50;
/// Longer than any spread, so that all better suited nodes have had their turn.
static constexpr Core::Duration slowLinkDeference = std::chrono::milliseconds(600);

OwnerWatch::OwnerWatch(std::string node, const OwnerWatchSettings &settings)
    : m_node(std::move(node))
    , m_settings(settings)
{
}

bool OwnerWatch::isOwner() const
{
    return m_claim && m_claim->node == m_node && !m_claim->isReleased;
}

void OwnerWatch::noteClaim(std::int64_t offset, const OwnerClaim &claim, Core::Instant now)
{
    if (offset <= m_claimOffset)
        return;
    m_claimOffset = offset;
    m_claim = claim;
    noteSign(now);
}

void OwnerWatch::noteSign(Core::Instant now)
{
    m_lastSignAt = std::max(m_lastSignAt, now);
}

void OwnerWatch::noteRead(bool isAnswered, Core::Instant now)
{
    m_isReadable = isAnswered;
    if (!isAnswered)
        return;
    // The owner is given time to write after a time in which nobody could see it.
    if (now - m_lastReadAt > longestReadGap)
        noteSign(now);
    m_lastReadAt = now;
}

Core::Duration OwnerWatch::spread() const
{
    const std::int64_t term = m_claim ? m_claim->term : 0;
    const std::uint64_t hash = Core::stableHash(m_node + '/' + std::to_string(term));
    const auto most = static_cast<std::uint64_t>(m_settings.claimSpread.count());
    return Core::Duration(static_cast<std::int64_t>(hash % (most + 1)));
}

Core::Duration OwnerWatch::deference() const
{
    const bool isLinkSlow = m_settings.linkMegabitsPerSecond < ownersLinkMegabitsPerSecond;
    return isLinkSlow ? slowLinkDeference : Core::Duration(0);
}

std::optional<Core::Instant> OwnerWatch::claimAt() const
{
    if (!m_isReadable)
        return std::nullopt;
    if (isOwner())
        return m_lastSignAt;
    if (!m_claim || m_claim->isReleased)
        return m_lastSignAt + spread() / releasedSpreadDivisor + deference();
    return m_lastSignAt + m_settings.longestSilence + spread() + deference();
}

} // namespace Jobs
