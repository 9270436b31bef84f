// The duties of the recorded holder: renewals, witness sets, snapshots and the release.

#include <LibLease/LeaseManager.h>

#include <algorithm>

namespace Lease {

/// Enough rounds for every response that can still extend the lease.
static constexpr std::size_t maximumRounds = 16;

void LeaseManager::renew(Core::Instant now, std::vector<LeaseAction> &actions)
{
    if (now < m_nextRenewalAt)
        return;
    m_nextRenewalAt = now + m_settings.renewInterval;
    ++m_sequence;
    m_rounds.push_back({ m_sequence, now });
    if (m_rounds.size() > maximumRounds)
        m_rounds.pop_front();

    // Candidates are asked too, so that adding them as witnesses doesn't interrupt the lease.
    std::vector<Incarnation> receivers = witnessSet();
    for (const PendingWitnessSet &pending : m_pendingWitnessSets)
        receivers.insert(receivers.end(), pending.witnesses.begin(), pending.witnesses.end());
    const std::vector<Incarnation> peers = reachablePeers();
    receivers.insert(receivers.end(), peers.begin(), peers.end());
    std::sort(receivers.begin(), receivers.end());
    receivers.erase(std::unique(receivers.begin(), receivers.end()), receivers.end());
    for (const Incarnation &receiver : receivers) {
        PromiseRequest request;
        request.to = receiver;
        request.holder = m_settings.self;
        request.epoch = epoch();
        request.version = m_replica.state().view.version;
        request.sequence = m_sequence;
        request.leaseLength = m_settings.leaseLength;
        actions.emplace_back(SendPromiseRequest { receiver, request });
    }
}

void LeaseManager::updateWitnesses(Core::Instant now, std::vector<LeaseAction> &actions)
{
    if (!isLogFresh(now) || now < m_nextAppendAt)
        return;
    const LeaseState &state = m_replica.state();
    const std::vector<Incarnation> desired = desiredWitnesses(now);
    const std::vector<Core::VmId> releasedReservations = reservationsToRelease();
    const bool isUpToDate = desired == state.witnesses && m_pendingWitnessSets.empty();
    if (isUpToDate && !state.hasOpenIntent && releasedReservations.empty() && !haveWeightsChanged())
        return;

    m_nextAppendAt = now + m_settings.appendRetryDelay;
    WitnessSetRecord record;
    record.id = nextRecordId();
    record.holder = m_settings.self;
    record.epoch = state.epoch;
    record.baseVersion = state.view.version;
    record.witnesses = desired;
    record.releasedReservations = releasedReservations;
    record.weights = m_weights;
    m_pendingWitnessSets.push_back({ record.id, record.baseVersion, record.witnesses });
    actions.emplace_back(AppendRecord { record });
}

std::vector<Incarnation> LeaseManager::desiredWitnesses(Core::Instant now) const
{
    std::vector<Incarnation> desired;
    for (const Incarnation &witness : witnessSet()) {
        if (!isLost(witness, now))
            desired.push_back(witness);
    }
    const std::vector<Core::VmId> &reservations = m_replica.state().view.reservations;
    std::size_t reservationCount = reservations.size();
    for (const Incarnation &candidate : reachablePeers()) {
        if (!canBecomeWitness(candidate, now))
            continue;
        const bool hasReservation
            = std::count(reservations.begin(), reservations.end(), candidate.vm) > 0;
        if (!hasReservation && reservationCount >= m_settings.maximumReservations)
            continue;
        reservationCount += hasReservation ? 0 : 1;
        desired.push_back(candidate);
    }
    std::sort(desired.begin(), desired.end());
    return desired;
}

bool LeaseManager::isLost(const Incarnation &witness, Core::Instant now) const
{
    const auto peer = m_peers.find(witness);
    if (peer == m_peers.end())
        return now - m_epochReadAt > m_settings.witnessTimeout;
    if (peer->second.hasRefused || !peer->second.isCandidate)
        return true;
    return now - std::max(peer->second.lastResponseAt, m_epochReadAt) > m_settings.witnessTimeout;
}

bool LeaseManager::canBecomeWitness(const Incarnation &candidate, Core::Instant now) const
{
    if (m_replica.state().hasWitness(candidate))
        return false;
    const PeerState &peer = m_peers.at(candidate);
    if (isLost(candidate, now) || now - peer.reachableSince < m_settings.joinDelay)
        return false;
    // The holder needs the candidate's promise as soon as the witness set is sent.
    return promiseDeadline(candidate) > now;
}

std::vector<Incarnation> LeaseManager::reachablePeers() const
{
    std::vector<Incarnation> peers;
    for (const auto &[incarnation, peer] : m_peers) {
        if (peer.isCandidate)
            peers.push_back(incarnation);
    }
    return peers;
}

std::vector<Core::VmId> LeaseManager::reservationsToRelease() const
{
    const DomainView &view = m_replica.state().view;
    std::vector<Core::VmId> reservations;
    for (const Core::VmId &vm : m_releasableReservations) {
        const bool isReserved
            = std::count(view.reservations.begin(), view.reservations.end(), vm) > 0;
        if (isReserved && !view.hasMember(vm))
            reservations.push_back(vm);
    }
    return reservations;
}

bool LeaseManager::haveWeightsChanged() const
{
    DomainView desired = m_replica.state().view;
    desired.setWeights(m_weights);
    return desired.weights != m_replica.state().view.weights;
}

void LeaseManager::writeSnapshot(Core::Instant now, std::vector<LeaseAction> &actions)
{
    if (!isHolder(now) || !isLogFresh(now) || now < m_nextSnapshotAt)
        return;
    m_nextSnapshotAt = now + m_settings.snapshotInterval;
    actions.emplace_back(AppendRecord {
        LeaseSnapshotRecord { nextRecordId(), m_appliedEndOffset, m_replica.state() } });
}

void LeaseManager::writeRelease(Core::Instant now, std::vector<LeaseAction> &actions)
{
    const LeaseState &state = m_replica.state();
    const bool isRecorded = m_replica.isInitialized() && state.holder == m_settings.self;
    if (!isRecorded || state.end != LeaseEnd::None || !isLogFresh(now) || now < m_nextAppendAt)
        return;
    m_nextAppendAt = now + m_settings.appendRetryDelay;
    actions.emplace_back(
        AppendRecord { ReleaseRecord { nextRecordId(), m_settings.self, state.epoch } });
}

} // namespace Lease
