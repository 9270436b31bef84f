// What a MembershipManager does while its VM holds the domain's lease.

#include <LibLease/MembershipManager.h>

#include <algorithm>
#include <cstdint>
#include <cstdlib>

namespace Lease {

void MembershipManager::noteHeldEpoch(Core::Instant now)
{
    if (m_heldEpoch == m_lease.epoch())
        return;
    // What the former holder granted is unknown, but it ended before this moment.
    m_heldEpoch = m_lease.epoch();
    m_heldSince = now;
    m_members.clear();
    m_lease.setWeights({});
    // The first requests of an epoch carry no grants yet.
    m_lease.requestRenewal();
    m_nextReweighing = now + m_settings.memberLeaseLength;
}

void MembershipManager::grantToSelf(Core::Instant now)
{
    MemberState &state = m_members[m_lease.self()];
    state.lastStamp = now;
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
    const bool isNamed = member == m_lease.self() || lease.hasWitness(member);
    if (!m_lease.isHolder(now) || !isNamed)
        return std::nullopt;

    MemberState &state = m_members[member];
    MemberGrant grant { lease.view.version, m_settledVersion, state.lastStamp, {} };
    const std::uint64_t firstUnknown = std::max(m_settledVersion, state.version + 1);
    for (const DomainView &view : m_lease.replica().views()) {
        if (view.version >= firstUnknown)
            grant.views.push_back(view);
    }
    if (grant.acknowledgedAt)
        state.lastGrant = now;
    return grant;
}

void MembershipManager::applyAcknowledgement(const Incarnation &member,
                                             const MemberAcknowledgement &answer, Core::Instant now)
{
    MemberState &state = m_members[member];
    // The first stamp makes a lease possible; members of a former holder wait for it.
    if (!state.lastStamp)
        m_lease.requestRenewal();
    state.lastStamp
        = std::max(state.lastStamp.value_or(answer.acknowledgedAt), answer.acknowledgedAt);
    if (answer.version > state.version) {
        state.version = answer.version;
        state.versionSince = now;
    }
    state.drainedVersion = std::max(state.drainedVersion, answer.drainedVersion);
    state.demand = answer.demand;
}

void MembershipManager::settle(Core::Instant now)
{
    const std::uint64_t version = m_lease.replica().state().view.version;
    if (version <= m_settledVersion)
        return;
    const std::deque<DomainView> &views = m_lease.replica().views();
    // Members of views that we never read may still use shares that a former holder granted.
    if (views.front().version > m_settledVersion && now < unknownGrantsEnd())
        return;
    const std::set<Core::VmId> leased = possiblyLeased();
    const bool isObeyed = std::all_of(leased.begin(), leased.end(), [&](const Core::VmId &member) {
        return obeysView(member, version, now);
    });
    if (!isObeyed)
        return;
    m_settledVersion = version;
    grantToSelf(now);
}

std::set<Core::VmId> MembershipManager::possiblyLeased() const
{
    std::set<Core::VmId> leased;
    for (const DomainView &view : m_lease.replica().views()) {
        if (view.version >= m_settledVersion)
            leased.insert(view.members.begin(), view.members.end());
    }
    // Those that this epoch has granted to may be in views that the register no longer keeps.
    for (const auto &[member, state] : m_members)
        leased.insert(member.vm);
    return leased;
}

void MembershipManager::reweigh(Core::Instant now)
{
    const DomainView &view = m_lease.replica().state().view;
    // Half-settled views would only pile up.
    if (now < m_nextReweighing || view.version != m_settledVersion)
        return;
    const std::vector<MemberWeight> wanted = weightsByDemand();
    if (wanted.empty())
        return;
    const int even = MembershipSettings::weightSum / static_cast<int>(view.members.size());
    int greatestChange = 0;
    for (std::size_t member = 0; member < wanted.size(); ++member) {
        const int weight = view.weights.empty() ? even : view.weights[member];
        greatestChange = std::max(greatestChange, std::abs(wanted[member].weight - weight));
    }
    if (greatestChange < MembershipSettings::weightHysteresis)
        return;
    m_nextReweighing = now + m_settings.weightUpdateInterval;
    m_lease.setWeights(wanted);
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

bool MembershipManager::obeysView(const Core::VmId &vm, std::uint64_t version,
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

Core::Instant MembershipManager::unknownGrantsEnd() const
{
    return m_heldSince
        + withDriftAllowance(m_settings.memberLeaseLength + maximumRequestDuration());
}

Core::Instant MembershipManager::lastGrantTo(const Core::VmId &vm) const
{
    Core::Instant lastGrant = m_heldSince;
    for (const auto &[member, state] : m_members) {
        if (member.vm == vm)
            lastGrant = std::max(lastGrant, state.lastGrant);
    }
    return lastGrant;
}

std::vector<Core::VmId> MembershipManager::releasableSeats(Core::Instant now) const
{
    const Core::Duration untilUnused = m_guards.reservesFloors
        ? withDriftAllowance(m_settings.minimumShareDuration + maximumRequestDuration())
        : Core::Duration::zero();
    const DomainView &view = m_lease.replica().state().view;
    std::vector<Core::VmId> reservations;
    for (const Core::VmId &seat : view.reservations) {
        if (!view.hasMember(seat) && now >= lastGrantTo(seat) + untilUnused)
            reservations.push_back(seat);
    }
    return reservations;
}

Core::Duration MembershipManager::withDriftAllowance(Core::Duration length) const
{
    return m_lease.settings().withDriftAllowance(length);
}

} // namespace Lease
