#include <LibLease/MembershipManager.h>

#include <algorithm>
#include <utility>

namespace Lease {

MembershipManager::MembershipManager(LeaseManager &lease, MembershipSettings settings,
                                     Core::Instant now)
    : MembershipManager(lease, settings, now, Guards {})
{
}

MembershipManager::MembershipManager(LeaseManager &lease, MembershipSettings settings,
                                     Core::Instant now, Guards guards)
    : m_lease(lease)
    , m_settings(settings)
    , m_guards(guards)
    , m_startedAt(now)
{
}

std::vector<LeaseAction> MembershipManager::poll(Core::Instant now)
{
    checkForEarlierIncarnation();
    if (m_lease.isHolder(now)) {
        resetOnNewEpoch(now);
        grantToSelf(now);
        updateSettledVersion(now);
        updateWeights(now);
        m_lease.setReleasableReservations(releasableReservations(now));
    }
    std::vector<LeaseAction> actions = m_lease.poll(now);
    for (LeaseAction &action : actions) {
        if (auto *send = std::get_if<SendPromiseRequest>(&action))
            send->request.grant = makeGrant(send->to, now);
    }
    return actions;
}

PromiseResponse MembershipManager::onPromiseRequest(const PromiseRequest &request,
                                                    Core::Instant now)
{
    PromiseResponse response = m_lease.onPromiseRequest(request, now);
    if (request.to != m_lease.self() || !request.grant || request.epoch < m_lease.epoch())
        return response;
    applyGrant(*request.grant, now);
    response.acknowledgement
        = MemberAcknowledgement { now, m_latestVersion, m_drainedVersion, m_demand };
    return response;
}

void MembershipManager::onPromiseResponse(const PromiseResponse &response, Core::Instant now)
{
    m_lease.onPromiseResponse(response, now);
    if (!response.acknowledgement || response.epoch != m_heldEpoch)
        return;
    applyAcknowledgement(response.from, *response.acknowledgement, now);
}

void MembershipManager::markDrained(Core::Instant now)
{
    if (hasWaitedForEarlierIncarnation(now))
        m_drainedVersion = m_latestVersion;
}

const DomainView &MembershipManager::view() const
{
    static const DomainView none;
    const auto latest = m_views.find(m_latestVersion);
    return latest == m_views.end() ? none : latest->second;
}

std::optional<Core::Instant> MembershipManager::memberSince(Core::Instant now) const
{
    return isMember(now) ? m_memberSince : std::nullopt;
}

std::vector<const DomainView *> MembershipManager::effectiveViews(Core::Instant now) const
{
    if (!hasWaitedForEarlierIncarnation(now) || now >= m_minimumShareUntil)
        return {};
    const std::uint64_t first
        = m_guards.waitsForSettledVersion ? m_settledVersion : m_latestVersion;
    std::vector<const DomainView *> views;
    for (std::uint64_t version = first; version <= m_latestVersion; ++version) {
        const auto view = m_views.find(version);
        // The share in a view that this VM doesn't have may be zero.
        if (view == m_views.end())
            return {};
        views.push_back(&view->second);
    }
    return views;
}

bool MembershipManager::hasWaitedForEarlierIncarnation(Core::Instant now) const
{
    if (!m_guards.waitsAfterRestart)
        return true;
    if (!m_mayHaveEarlierIncarnation)
        return false;
    return !*m_mayHaveEarlierIncarnation
        || now >= m_startedAt + withDriftAllowance(maximumRequestDuration());
}

void MembershipManager::checkForEarlierIncarnation()
{
    if (m_mayHaveEarlierIncarnation || !m_lease.hasCaughtUp() || !m_lease.replica().isInitialized())
        return;
    // An earlier incarnation that may still have active requests has kept its reservation.
    const std::vector<Core::VmId> &reservations = m_lease.replica().state().view.reservations;
    m_mayHaveEarlierIncarnation = std::count(reservations.begin(), reservations.end(), self()) > 0;
}

void MembershipManager::applyGrant(const MemberGrant &grant, Core::Instant now)
{
    // The grant was sent by a former holder and arrived late.
    if (grant.version < m_latestVersion)
        return;
    for (const DomainView &view : grant.views)
        m_views.insert_or_assign(view.version, view);
    m_latestVersion = grant.version;
    m_settledVersion = std::max(m_settledVersion, grant.settledVersion);
    m_views.erase(m_views.begin(), m_views.lower_bound(m_settledVersion));
    if (!grant.acknowledgedAt)
        return;

    const Core::Instant leaseStart
        = m_guards.leaseStartsAtAcknowledgement ? *grant.acknowledgedAt : now;
    const bool wasMember = isMember(now);
    m_leaseUntil = std::max(m_leaseUntil, leaseStart + m_settings.memberLeaseLength);
    m_minimumShareUntil
        = std::max(m_minimumShareUntil, leaseStart + m_settings.minimumShareDuration);
    if (!wasMember)
        m_memberSince = now;
}

Core::Duration MembershipManager::maximumRequestDuration() const
{
    return m_guards.waitsForActiveRequests ? m_settings.maximumRequestDuration
                                           : Core::Duration::zero();
}

} // namespace Lease
