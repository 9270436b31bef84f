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
    noteEarlierRun();
    if (m_lease.isHolder(now)) {
        noteHeldEpoch(now);
        grantToSelf(now);
        settle(now);
        reweigh(now);
        m_lease.setReleasableReservations(releasableSeats(now));
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
    PromiseResponse answer = m_lease.onPromiseRequest(request, now);
    if (request.to != m_lease.self() || !request.grant || request.epoch < m_lease.epoch())
        return answer;
    applyGrant(*request.grant, now);
    answer.acknowledgement
        = MemberAcknowledgement { now, m_latestVersion, m_drainedVersion, m_demand };
    return answer;
}

void MembershipManager::onPromiseResponse(const PromiseResponse &answer, Core::Instant now)
{
    m_lease.onPromiseResponse(answer, now);
    if (!answer.acknowledgement || answer.epoch != m_heldEpoch)
        return;
    applyAcknowledgement(answer.from, *answer.acknowledgement, now);
}

void MembershipManager::markDrained(Core::Instant now)
{
    if (hasWaitedForEarlierRun(now))
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
    if (!hasWaitedForEarlierRun(now) || now >= m_floorUntil)
        return {};
    const std::uint64_t first = m_guards.waitsForSettlement ? m_settledVersion : m_latestVersion;
    std::vector<const DomainView *> views;
    for (std::uint64_t version = first; version <= m_latestVersion; ++version) {
        const auto view = m_views.find(version);
        // A view that we don't know may give us nothing.
        if (view == m_views.end())
            return {};
        views.push_back(&view->second);
    }
    return views;
}

bool MembershipManager::hasWaitedForEarlierRun(Core::Instant now) const
{
    if (!m_guards.waitsAfterRestart)
        return true;
    if (!m_mayHaveEarlierRun)
        return false;
    return !*m_mayHaveEarlierRun
        || now >= m_startedAt + withDriftAllowance(maximumRequestDuration());
}

void MembershipManager::noteEarlierRun()
{
    if (m_mayHaveEarlierRun || !m_lease.hasCaughtUp() || !m_lease.replica().isInitialized())
        return;
    // A run of this VM that may have left requests behind still has its seat.
    const std::vector<Core::VmId> &reservations = m_lease.replica().state().view.reservations;
    m_mayHaveEarlierRun = std::count(reservations.begin(), reservations.end(), self()) > 0;
}

void MembershipManager::applyGrant(const MemberGrant &grant, Core::Instant now)
{
    // A former holder's grant, delayed on its way.
    if (grant.version < m_latestVersion)
        return;
    for (const DomainView &view : grant.views)
        m_views.insert_or_assign(view.version, view);
    m_latestVersion = grant.version;
    m_settledVersion = std::max(m_settledVersion, grant.settledVersion);
    m_views.erase(m_views.begin(), m_views.lower_bound(m_settledVersion));
    if (!grant.acknowledgedAt)
        return;

    const Core::Instant grantedFrom = m_guards.leaseRunsFromStamp ? *grant.acknowledgedAt : now;
    const bool wasMember = isMember(now);
    m_leaseUntil = std::max(m_leaseUntil, grantedFrom + m_settings.memberLeaseLength);
    m_floorUntil = std::max(m_floorUntil, grantedFrom + m_settings.minimumShareDuration);
    if (!wasMember)
        m_memberSince = now;
}

Core::Duration MembershipManager::maximumRequestDuration() const
{
    return m_guards.waitsForRequests ? m_settings.maximumRequestDuration : Core::Duration::zero();
}

} // namespace Lease
