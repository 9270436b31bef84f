// The management of member leases and weights by the holder of the domain's lease.

#include <LibLease/MembershipManager.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>

namespace Lease {

void MembershipManager::resetOnNewEpoch(Core::Instant now)
{
    if (m_heldEpoch == m_lease.epoch())
        return;
    // The former holder's grants are unknown, but all of them were made before this time.
    m_heldEpoch = m_lease.epoch();
    m_heldSince = now;
    m_members.clear();
    m_lease.setWeights({});
    // The first requests of an epoch carry no grants yet.
    m_lease.requestRenewal();
    m_nextWeightUpdateAt = now + m_settings.memberLeaseLength;
}

void MembershipManager::grantToSelf(Core::Instant now)
{
    MemberState &state = m_members[m_lease.self()];
    state.lastAcknowledgedAt = now;
    const std::optional<MemberGrant> grant = makeGrant(m_lease.self(), now);
    if (!grant)
        return;
    applyGrant(*grant, now);
    applyAcknowledgement(m_lease.self(), { now, m_latestVersion, m_drainedVersion, m_demand }, now);
}

std::optional<MemberGrant> MembershipManager::makeGrant(const Incarnation &member,
                                                        Core::Instant now)
{
    const LeaseState &lease = m_lease.replica().state();
    const bool isRecordedMember = member == m_lease.self() || lease.hasWitness(member);
    if (!m_lease.isHolder(now) || !isRecordedMember)
        return std::nullopt;

    MemberState &state = m_members[member];
    MemberGrant grant { lease.view.version, m_settledVersion, state.lastAcknowledgedAt, {} };
    const std::uint64_t firstUnknown = std::max(m_settledVersion, state.version + 1);
    for (const DomainView &view : m_lease.replica().views()) {
        if (view.version >= firstUnknown)
            grant.views.push_back(view);
    }
    if (grant.acknowledgedAt)
        state.lastGrantAt = now;
    return grant;
}

void MembershipManager::applyAcknowledgement(const Incarnation &member,
                                             const MemberAcknowledgement &acknowledgement,
                                             Core::Instant now)
{
    MemberState &state = m_members[member];
    // A member lease can be granted only after the first acknowledgement, and the members of the
    // former holder are waiting for it.
    if (!state.lastAcknowledgedAt)
        m_lease.requestRenewal();
    state.lastAcknowledgedAt
        = std::max(state.lastAcknowledgedAt.value_or(acknowledgement.acknowledgedAt),
                   acknowledgement.acknowledgedAt);
    if (acknowledgement.version > state.version) {
        state.version = acknowledgement.version;
        state.versionSince = now;
    }
    state.drainedVersion = std::max(state.drainedVersion, acknowledgement.drainedVersion);
    state.demand = acknowledgement.demand;
}

void MembershipManager::updateSettledVersion(Core::Instant now)
{
    const std::uint64_t version = m_lease.replica().state().view.version;
    if (version <= m_settledVersion)
        return;
    const std::deque<DomainView> &views = m_lease.replica().views();
    // Members of views that this VM hasn't read may still use shares that a former holder granted.
    if (views.front().version > m_settledVersion && now < unknownGrantsExpiry())
        return;
    const std::set<Core::VmId> leased = possiblyLeasedMembers();
    const bool areOlderViewsUnused
        = std::all_of(leased.begin(), leased.end(), [&](const Core::VmId &member) {
              return hasStoppedUsingOlderViews(member, version, now);
          });
    if (!areOlderViewsUnused)
        return;
    m_settledVersion = version;
    grantToSelf(now);
}

std::set<Core::VmId> MembershipManager::possiblyLeasedMembers() const
{
    std::set<Core::VmId> leased;
    for (const DomainView &view : m_lease.replica().views()) {
        if (view.version >= m_settledVersion)
            leased.insert(view.members.begin(), view.members.end());
    }
    // Members with grants of this epoch may be in views that the replica has dropped.
    for (const auto &[member, state] : m_members)
        leased.insert(member.vm);
    return leased;
}

void MembershipManager::updateWeights(Core::Instant now)
{
    const DomainView &view = m_lease.replica().state().view;
    // While the current view isn't settled, another one would only add to the views that limit the
    // shares.
    if (now < m_nextWeightUpdateAt || view.version != m_settledVersion)
        return;
    const std::vector<MemberWeight> desired = weightsByDemand();
    if (desired.empty())
        return;
    const int equalWeight = MembershipSettings::weightSum / static_cast<int>(view.members.size());
    int maximumChange = 0;
    for (std::size_t member = 0; member < desired.size(); ++member) {
        const int weight = view.weights.empty() ? equalWeight : view.weights[member];
        maximumChange = std::max(maximumChange, std::abs(desired[member].weight - weight));
    }
    if (maximumChange < MembershipSettings::weightHysteresis)
        return;
    m_nextWeightUpdateAt = now + m_settings.weightUpdateInterval;
    m_lease.setWeights(desired);
}

std::vector<MemberWeight> MembershipManager::weightsByDemand() const
{
    const DomainView &view = m_lease.replica().state().view;
    std::int64_t sum = 0;
    for (const Core::VmId &member : view.members)
        sum += demandOf(member);
    if (sum < m_settings.minimumDemand)
        return {};
    std::vector<MemberWeight> weights;
    for (const Core::VmId &member : view.members) {
        const std::int64_t part = MembershipSettings::weightSum * std::int64_t(demandOf(member));
        const auto weight = static_cast<int>((part + sum / 2) / sum);
        weights.push_back({ member, std::max(1, weight) });
    }
    return weights;
}

int MembershipManager::demandOf(const Core::VmId &vm) const
{
    int demand = 0;
    for (const auto &[member, state] : m_members) {
        if (member.vm == vm)
            demand = std::max(demand, state.demand);
    }
    return demand;
}

bool MembershipManager::hasStoppedUsingOlderViews(const Core::VmId &vm, std::uint64_t version,
                                                  Core::Instant now) const
{
    for (const auto &[member, state] : m_members) {
        if (member.vm != vm || state.version < version)
            continue;
        const bool isDrained = state.drainedVersion >= version;
        if (isDrained || now >= state.versionSince + withDriftAllowance(maximumRequestDuration()))
            return true;
    }
    const Core::Duration untilUnused
        = withDriftAllowance(m_settings.memberLeaseLength + maximumRequestDuration());
    return now >= lastGrantTo(vm) + untilUnused;
}

Core::Instant MembershipManager::unknownGrantsExpiry() const
{
    return m_heldSince
        + withDriftAllowance(m_settings.memberLeaseLength + maximumRequestDuration());
}

Core::Instant MembershipManager::lastGrantTo(const Core::VmId &vm) const
{
    Core::Instant lastGrantAt = m_heldSince;
    for (const auto &[member, state] : m_members) {
        if (member.vm == vm)
            lastGrantAt = std::max(lastGrantAt, state.lastGrantAt);
    }
    return lastGrantAt;
}

std::vector<Core::VmId> MembershipManager::releasableReservations(Core::Instant now) const
{
    const Core::Duration untilUnused = m_guards.keepsReservations
        ? withDriftAllowance(m_settings.minimumShareDuration + maximumRequestDuration())
        : Core::Duration::zero();
    const DomainView &view = m_lease.replica().state().view;
    std::vector<Core::VmId> reservations;
    for (const Core::VmId &vm : view.reservations) {
        if (!view.hasMember(vm) && now >= lastGrantTo(vm) + untilUnused)
            reservations.push_back(vm);
    }
    return reservations;
}

Core::Duration MembershipManager::withDriftAllowance(Core::Duration length) const
{
    return m_lease.settings().withDriftAllowance(length);
}

} // namespace Lease
