// The takeover of the lease from a holder that has died or stopped.

#include <LibLease/LeaseManager.h>

#include <algorithm>

namespace Lease {

/// Limits how often a VM that can't reach a live holder announces a takeover, so that such intents
/// are rare compared with \c LeaseSettings::logSilenceBound.
static constexpr int intentsPerSilenceBound = 20;

void LeaseManager::claimIfDue(Core::Instant now, std::vector<LeaseAction> &actions)
{
    // A claim makes this VM refuse promises to the holder. During a log outage that would only stop
    // the holder, as the claim couldn't be appended.
    if (!m_replica.isInitialized() || !isLogFresh(now))
        return;
    if (now < m_nextAppendAt || now < m_earliestClaimAt)
        return;
    if (now < claimTime()) {
        announceTakeoverIfDue(now, actions);
        return;
    }
    m_nextAppendAt = now + m_settings.appendRetryDelay;
    const ClaimRecord claim = makeClaim();
    m_unconfirmedClaims.emplace(claim.id, claim.baseVersion);
    actions.emplace_back(AppendRecord { claim });
}

Core::Instant LeaseManager::claimTime() const
{
    const LeaseState &state = m_replica.state();
    if (state.epoch == 0)
        return std::max(m_stateReadAt, m_lastHolderContactAt) + m_settings.claimDelay
            + claimStagger();
    // The holder may have sent commands that are valid until the end of its last lease.
    if (state.end != LeaseEnd::None)
        return m_stateReadAt + withDriftAllowance(m_settings.leaseLength) + claimStagger();
    if (isWitness())
        return witnessClaimTime();
    if (m_intentReadAt)
        return *m_intentReadAt + withDriftAllowance(m_settings.logSilenceBound) + claimStagger();
    return Core::Instant::max();
}

Core::Instant LeaseManager::witnessClaimTime() const
{
    Core::Instant time = m_promise.epoch >= epoch() ? m_promise.until : Core::Instant::min();
    // A new witness waits for one lease length even if it hasn't promised anything: commands that
    // were sent before it became a witness may be valid for that long.
    if (m_guards.newWitnessesWait)
        time = std::max(time, m_stateReadAt + withDriftAllowance(m_settings.leaseLength));
    return time + claimStagger();
}

bool LeaseManager::isWitness() const
{
    if (!m_guards.onlyWitnessesClaim)
        return true;
    return std::any_of(witnessSet().begin(), witnessSet().end(),
                       [&](const Incarnation &witness) { return isSelf(witness); });
}

Core::Duration LeaseManager::claimStagger() const
{
    int rank = 0;
    for (const Incarnation &peer : reachablePeers())
        rank += peer < m_settings.self ? 1 : 0;
    return m_settings.claimDelay * rank;
}

void LeaseManager::announceTakeoverIfDue(Core::Instant now, std::vector<LeaseAction> &actions)
{
    const LeaseState &state = m_replica.state();
    if (state.epoch == 0 || state.end != LeaseEnd::None || state.hasOpenIntent || isWitness())
        return;
    const Core::Instant heardAt = std::max(m_lastHolderContactAt, m_stateReadAt);
    if (now < heardAt + withDriftAllowance(m_settings.leaseLength) + claimStagger()
        || now < m_nextIntentAt)
        return;
    if (hasReachableHolderOrWitness())
        return;
    m_nextAppendAt = now + m_settings.appendRetryDelay;
    m_nextIntentAt = now + m_settings.logSilenceBound / intentsPerSilenceBound;
    actions.emplace_back(AppendRecord { TakeoverIntentRecord { nextRecordId(), m_settings.self,
                                                               state.epoch, state.view.version } });
}

bool LeaseManager::hasReachableHolderOrWitness() const
{
    const LeaseState &state = m_replica.state();
    const std::vector<Incarnation> peers = reachablePeers();
    return std::any_of(peers.begin(), peers.end(), [&](const Incarnation &peer) {
        return peer == state.holder || state.hasWitness(peer);
    });
}

ClaimRecord LeaseManager::makeClaim()
{
    const LeaseState &state = m_replica.state();
    const std::vector<Core::VmId> &reservations = state.view.reservations;
    std::size_t reservationCount = reservations.size();
    std::vector<Incarnation> witnesses;
    for (const Incarnation &peer : reachablePeers()) {
        const bool hasReservation
            = std::count(reservations.begin(), reservations.end(), peer.vm) > 0;
        if (!hasReservation && reservationCount + 1 >= m_settings.maximumReservations)
            continue;
        reservationCount += hasReservation ? 0 : 1;
        witnesses.push_back(peer);
    }
    return { nextRecordId(), m_settings.self, state.epoch + 1, state.view.version, witnesses };
}

} // namespace Lease
