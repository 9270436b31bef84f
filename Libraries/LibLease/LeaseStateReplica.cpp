#include <LibLease/LeaseStateReplica.h>

#include <algorithm>

namespace Lease {

void LeaseStateReplica::start(std::uint64_t firstOffset)
{
    m_firstOffset = firstOffset;
    m_isInitialized = firstOffset == 0;
    m_state = {};
    m_views = { m_state.view };
    m_recordsBeforeSnapshot.clear();
}

bool LeaseStateReplica::apply(std::uint64_t offset, const LeaseRecord &record)
{
    const auto *snapshot = std::get_if<LeaseSnapshotRecord>(&record);
    if (snapshot != nullptr)
        return !m_isInitialized && restore(*snapshot);
    if (m_isInitialized)
        return applyToState(record);
    m_recordsBeforeSnapshot.emplace_back(offset, record);
    return false;
}

bool LeaseStateReplica::restore(const LeaseSnapshotRecord &snapshot)
{
    // Records between the snapshot's end and the first retained record would be missing.
    if (snapshot.end < m_firstOffset)
        return false;
    m_isInitialized = true;
    m_state = snapshot.state;
    m_views = { m_state.view };
    for (const auto &[offset, record] : m_recordsBeforeSnapshot) {
        if (offset >= snapshot.end)
            applyToState(record);
    }
    m_recordsBeforeSnapshot.clear();
    return true;
}

bool LeaseStateReplica::applyToState(const LeaseRecord &record)
{
    if (const auto *claim = std::get_if<ClaimRecord>(&record))
        return apply(*claim);
    if (const auto *witnessSet = std::get_if<WitnessSetRecord>(&record))
        return apply(*witnessSet);
    if (const auto *intent = std::get_if<TakeoverIntentRecord>(&record))
        return apply(*intent);
    if (const auto *takeover = std::get_if<OperatorTakeoverRecord>(&record))
        return apply(*takeover);
    if (const auto *release = std::get_if<ReleaseRecord>(&record))
        return apply(*release);
    return false;
}

bool LeaseStateReplica::apply(const ClaimRecord &record)
{
    if (record.epoch != m_state.epoch + 1 || record.baseVersion != m_state.view.version)
        return false;
    m_state.epoch = record.epoch;
    m_state.end = LeaseEnd::None;
    setMembers(record.holder, record.witnesses, {}, {});
    return true;
}

bool LeaseStateReplica::apply(const WitnessSetRecord &record)
{
    if (record.epoch != m_state.epoch || record.holder != m_state.holder)
        return false;
    if (record.baseVersion != m_state.view.version || m_state.end != LeaseEnd::None)
        return false;
    setMembers(record.holder, record.witnesses, record.releasedReservations, record.weights);
    return true;
}

bool LeaseStateReplica::apply(const TakeoverIntentRecord &record)
{
    if (record.epoch != m_state.epoch || record.baseVersion != m_state.view.version)
        return false;
    if (m_state.hasOpenIntent)
        return false;
    m_state.hasOpenIntent = true;
    return true;
}

bool LeaseStateReplica::apply(const OperatorTakeoverRecord &record)
{
    if (record.epoch != m_state.epoch || record.baseVersion != m_state.view.version)
        return false;
    if (m_state.end != LeaseEnd::None)
        return false;
    m_state.end = LeaseEnd::OperatorTakeover;
    return true;
}

bool LeaseStateReplica::apply(const ReleaseRecord &record)
{
    if (record.epoch != m_state.epoch || record.holder != m_state.holder)
        return false;
    if (m_state.end != LeaseEnd::None)
        return false;
    m_state.end = LeaseEnd::Released;
    return true;
}

void LeaseStateReplica::setMembers(const Incarnation &holder,
                                   const std::vector<Incarnation> &witnesses,
                                   const std::vector<Core::VmId> &releasedReservations,
                                   const std::vector<MemberWeight> &weights)
{
    m_state.holder = holder;
    m_state.witnesses = witnesses;
    std::sort(m_state.witnesses.begin(), m_state.witnesses.end());
    m_state.hasOpenIntent = false;

    DomainView &view = m_state.view;
    ++view.version;
    view.members = { holder.vm };
    for (const Incarnation &witness : witnesses)
        view.members.push_back(witness.vm);
    std::sort(view.members.begin(), view.members.end());
    const auto duplicates = std::unique(view.members.begin(), view.members.end());
    view.members.erase(duplicates, view.members.end());

    std::erase_if(view.reservations, [&](const Core::VmId &vm) {
        return std::count(releasedReservations.begin(), releasedReservations.end(), vm) > 0;
    });
    for (const Core::VmId &member : view.members) {
        if (std::count(view.reservations.begin(), view.reservations.end(), member) == 0)
            view.reservations.push_back(member);
    }
    view.setWeights(weights);
    m_views.push_back(view);
    if (m_views.size() > maximumViews)
        m_views.pop_front();
}

} // namespace Lease
