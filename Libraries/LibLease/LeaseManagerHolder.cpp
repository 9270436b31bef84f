// What a LeaseManager does while the log names it as the holder.

#include <LibLease/LeaseManager.h>

#include <algorithm>

namespace Lease {

/// Enough rounds for every answer that can still extend the lease.
static constexpr std::size_t maximumRounds = 16;

void LeaseManager::renew(Core::Instant now, std::vector<LeaseAction> &actions)
{
    if (now < m_nextRenewal)
        return;
    m_nextRenewal = now + m_settings.renewInterval;
    ++m_sequence;
    m_rounds.push_back({ m_sequence, now });
    if (m_rounds.size() > maximumRounds)
        m_rounds.pop_front();

    // Newcomers are asked too, so that naming them as witnesses doesn't interrupt the lease.
    std::vector<Incarnation> receivers = witnessSet();
    for (const PendingChange &change : m_pendingChanges)
        receivers.insert(receivers.end(), change.witnesses.begin(), change.witnesses.end());
    const std::vector<Incarnation> peers = reachablePeers();
    receivers.insert(receivers.end(), peers.begin(), peers.end());
    std::sort(receivers.begin(), receivers.end());
    receivers.erase(std::unique(receivers.begin(), receivers.end()), receivers.end());
    for (const Incarnation &receiver : receivers) {
        PromiseRequest request;
        request.to = receiver;
        request.holder = m_settings.self;
        request.epoch = epoch();
        request.version = m_register.state().view.version;
        request.sequence = m_sequence;
        request.leaseLength = m_settings.leaseLength;
        actions.emplace_back(SendPromiseRequest { receiver, request });
    }
}

void LeaseManager::changeWitnesses(Core::Instant now, std::vector<LeaseAction> &actions)
{
    if (!isLogFresh(now) || now < m_nextAppend)
        return;
    const LeaseState &state = m_register.state();
    const std::vector<Incarnation> desired = desiredWitnesses(now);
    const std::vector<Core::VmId> releasedReservations = seatsToRelease();
    const bool isSettled = desired == state.witnesses && m_pendingChanges.empty();
    if (isSettled && !state.hasOpenIntent && releasedReservations.empty() && !hasOtherWeights())
        return;

    m_nextAppend = now + m_settings.appendRetryDelay;
    WitnessSetRecord record;
    record.id = nextRecordId();
    record.holder = m_settings.self;
    record.epoch = state.epoch;
    record.baseVersion = state.view.version;
    record.witnesses = desired;
    record.releasedReservations = releasedReservations;
    record.weights = m_weights;
    m_pendingChanges.push_back({ record.id, record.baseVersion, record.witnesses });
    actions.emplace_back(AppendRecord { record });
}

std::vector<Incarnation> LeaseManager::desiredWitnesses(Core::Instant now) const
{
    std::vector<Incarnation> desired;
    for (const Incarnation &witness : witnessSet()) {
        if (!isLost(witness, now))
            desired.push_back(witness);
    }
    const std::vector<Core::VmId> &reservations = m_register.state().view.reservations;
    std::size_t seatCount = reservations.size();
    for (const Incarnation &candidate : reachablePeers()) {
        if (!mayJoin(candidate, now))
            continue;
        const bool hasSeat = std::count(reservations.begin(), reservations.end(), candidate.vm) > 0;
        if (!hasSeat && seatCount >= m_settings.maximumReservations)
            continue;
        seatCount += hasSeat ? 0 : 1;
        desired.push_back(candidate);
    }
    std::sort(desired.begin(), desired.end());
    return desired;
}

bool LeaseManager::isLost(const Incarnation &witness, Core::Instant now) const
{
    const auto peer = m_peers.find(witness);
    if (peer == m_peers.end())
        return now - m_epochSeenAt > m_settings.witnessTimeout;
    if (peer->second.hasRefused || !peer->second.isCandidate)
        return true;
    return now - std::max(peer->second.lastAnswer, m_epochSeenAt) > m_settings.witnessTimeout;
}

bool LeaseManager::mayJoin(const Incarnation &candidate, Core::Instant now) const
{
    if (m_register.state().hasWitness(candidate))
        return false;
    const PeerState &peer = m_peers.at(candidate);
    if (isLost(candidate, now) || now - peer.inReachSince < m_settings.joinDelay)
        return false;
    // The holder needs its promise from the moment when the change is sent.
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

std::vector<Core::VmId> LeaseManager::seatsToRelease() const
{
    const DomainView &view = m_register.state().view;
    std::vector<Core::VmId> reservations;
    for (const Core::VmId &seat : m_releasableReservations) {
        const bool isSeated
            = std::count(view.reservations.begin(), view.reservations.end(), seat) > 0;
        if (isSeated && !view.hasMember(seat))
            reservations.push_back(seat);
    }
    return reservations;
}

bool LeaseManager::hasOtherWeights() const
{
    DomainView wanted = m_register.state().view;
    wanted.setWeights(m_weights);
    return wanted.weights != m_register.state().view.weights;
}

void LeaseManager::writeSnapshot(Core::Instant now, std::vector<LeaseAction> &actions)
{
    if (!isHolder(now) || !isLogFresh(now) || now < m_nextSnapshot)
        return;
    m_nextSnapshot = now + m_settings.snapshotInterval;
    actions.emplace_back(
        AppendRecord { LeaseSnapshotRecord { nextRecordId(), m_appliedEnd, m_register.state() } });
}

void LeaseManager::writeRelease(Core::Instant now, std::vector<LeaseAction> &actions)
{
    const LeaseState &state = m_register.state();
    const bool isNamed = m_register.isInitialized() && state.holder == m_settings.self;
    if (!isNamed || state.end != LeaseEnd::None || !isLogFresh(now) || now < m_nextAppend)
        return;
    m_nextAppend = now + m_settings.appendRetryDelay;
    actions.emplace_back(
        AppendRecord { ReleaseRecord { nextRecordId(), m_settings.self, state.epoch } });
}

} // namespace Lease
