#include <LibSite/WriteRoute.h>

#include <algorithm>

namespace Site {

/// A direct append that takes this long makes the node forward. The usual latency is 4 ms.
static constexpr Core::Duration slowLatency = std::chrono::milliseconds(150);
/// Below this latency of the owner the node appends directly again.
static constexpr Core::Duration fastLatency = std::chrono::milliseconds(50);
static constexpr Core::Duration probeInterval = std::chrono::seconds(2);
/// An owner that couldn't be reached is tried again after this time.
static constexpr Core::Duration ownerRetryDelay = std::chrono::seconds(1);
/// Without the owner, the pause after an append is this many times its latency.
static constexpr int pauseFactor = 3;

bool WriteRoute::isOwnerReachable(const std::string &owner, Core::Instant now) const
{
    return !owner.empty() && (owner != m_unreachableOwner || now >= m_unreachableUntil);
}

WriteRoute::Choice WriteRoute::choose(const std::string &owner, Core::Instant now) const
{
    if (!m_isSlow || owner.empty())
        return { Path::Direct, now };
    if (!isOwnerReachable(owner, now)) {
        const Core::Instant notBefore
            = m_directEstimate.measuredAt + pauseFactor * m_directEstimate.latency;
        return { Path::Direct, std::max(now, notBefore) };
    }
    const bool isOwnerFast = m_ownerEstimate && m_ownerEstimate->latency < fastLatency;
    const bool isProbeDue = m_needsProbe && isOwnerFast && now >= m_nextProbeAt;
    return { isProbeDue ? Path::Probe : Path::Forward, now };
}

void WriteRoute::noteProbe(Core::Instant now)
{
    m_nextProbeAt = now + probeInterval;
}

void WriteRoute::noteDirect(Core::Duration latency, Core::Instant now)
{
    m_directEstimate = { latency, LatencySource::OwnAppends, now };
    m_isSlow = latency >= slowLatency;
    if (!m_isSlow)
        m_needsProbe = false;
}

void WriteRoute::noteDirectFailure(Core::Duration waited, Core::Instant now)
{
    // A refusal may come at once and says nothing about the latency.
    m_directEstimate
        = { std::max(m_directEstimate.latency, waited), LatencySource::OwnAppends, now };
    noteStoreLost();
}

void WriteRoute::noteStoreLost()
{
    m_isSlow = true;
    m_needsProbe = true;
}

void WriteRoute::noteOwnerAnswer(Core::Duration latency, Core::Instant now)
{
    m_ownerEstimate = { latency, LatencySource::OwnerReport, now };
    m_unreachableOwner.clear();
    if (latency < fastLatency && !m_needsProbe)
        m_isSlow = false;
}

void WriteRoute::noteOwnerUnreachable(const std::string &owner, Core::Instant now)
{
    m_unreachableOwner = owner;
    m_unreachableUntil = now + ownerRetryDelay;
    m_ownerEstimate.reset();
}

LatencyEstimate WriteRoute::estimate(Path path) const
{
    return path == Path::Direct ? m_directEstimate : m_ownerEstimate.value_or(LatencyEstimate());
}

} // namespace Site
