#include <LibLease/MembershipMachine.h>

#include <algorithm>
#include <utility>

namespace Lease {

MembershipMachine::MembershipMachine(LeaseMachine &lease, MembershipSettings settings,
                                     Core::Instant now)
    : MembershipMachine(lease, settings, now, Guards {})
{
}

MembershipMachine::MembershipMachine(LeaseMachine &lease, MembershipSettings settings,
                                     Core::Instant now, Guards guards)
    : m_lease(lease)
    , m_settings(settings)
    , m_guards(guards)
    , m_startedAt(now)
{
}

std::vector<LeaseAction> MembershipMachine::poll(Core::Instant now)
{
    noteEarlierRun();
    if (m_lease.isHolder(now)) {
        noteHeldEpoch(now);
        grantToSelf(now);
        settle(now);
        reweigh(now);
        m_lease.setReleasableSeats(releasableSeats(now));
    }
    std::vector<LeaseAction> actions = m_lease.poll(now);
    for (LeaseAction &action : actions) {
        if (auto *send = std::get_if<SendPromiseRequest>(&action))
            send->request.grant = makeGrant(send->to, now);
    }
    return actions;
}

PromiseAnswer MembershipMachine::onPromiseRequest(const PromiseRequest &request, Core::Instant now)
{
    PromiseAnswer answer = m_lease.onPromiseRequest(request, now);
    if (request.to != m_lease.self() || !request.grant || request.epoch < m_lease.epoch())
        return answer;
    applyGrant(*request.grant, now);
    answer.acknowledgement
        = MemberAcknowledgement { now, m_latestVersion, m_drainedVersion, m_demand };
    return answer;
}

void MembershipMachine::onPromiseAnswer(const PromiseAnswer &answer, Core::Instant now)
{
    m_lease.onPromiseAnswer(answer, now);
    if (!answer.acknowledgement || answer.epoch != m_heldEpoch)
        return;
    applyAcknowledgement(answer.from, *answer.acknowledgement, now);
}

void MembershipMachine::noteDrained(Core::Instant now)
{
    if (hasWaitedForEarlierRun(now))
        m_drainedVersion = m_latestVersion;
}

const DomainView &MembershipMachine::view() const
{
    static const DomainView none;
    const auto latest = m_views.find(m_latestVersion);
    return latest == m_views.end() ? none : latest->second;
}

std::optional<Core::Instant> MembershipMachine::memberSince(Core::Instant now) const
{
    return isMember(now) ? m_memberSince : std::nullopt;
}

std::vector<const DomainView *> MembershipMachine::bindingViews(Core::Instant now) const
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

bool MembershipMachine::hasWaitedForEarlierRun(Core::Instant now) const
{
    if (!m_guards.waitsAfterRestart)
        return true;
    if (!m_mayHaveEarlierRun)
        return false;
    return !*m_mayHaveEarlierRun || now >= m_startedAt + withDrift(longestRequest());
}

void MembershipMachine::noteEarlierRun()
{
    if (m_mayHaveEarlierRun || !m_lease.hasCaughtUp() || !m_lease.leaseRegister().isFounded())
        return;
    // A run of this VM that may have left requests behind still has its seat.
    const std::vector<Core::VmId> &seats = m_lease.leaseRegister().state().view.seats;
    m_mayHaveEarlierRun = std::count(seats.begin(), seats.end(), self()) > 0;
}

void MembershipMachine::applyGrant(const MemberGrant &grant, Core::Instant now)
{
    // A former holder's grant, delayed on its way.
    if (grant.version < m_latestVersion)
        return;
    for (const DomainView &view : grant.views)
        m_views.insert_or_assign(view.version, view);
    m_latestVersion = grant.version;
    m_settledVersion = std::max(m_settledVersion, grant.settledVersion);
    m_views.erase(m_views.begin(), m_views.lower_bound(m_settledVersion));
    if (!grant.stamp)
        return;

    const Core::Instant grantedFrom = m_guards.leaseRunsFromStamp ? *grant.stamp : now;
    const bool wasMember = isMember(now);
    m_leaseUntil = std::max(m_leaseUntil, grantedFrom + m_settings.memberLease);
    m_floorUntil = std::max(m_floorUntil, grantedFrom + m_settings.floorLength);
    if (!wasMember)
        m_memberSince = now;
}

Core::Duration MembershipMachine::longestRequest() const
{
    return m_guards.waitsForRequests ? m_settings.longestRequest : Core::Duration::zero();
}

} // namespace Lease
