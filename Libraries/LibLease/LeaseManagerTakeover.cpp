// How a LeaseManager takes over from a holder that has died or stopped.

#include <LibLease/LeaseManager.h>

#include <algorithm>

namespace Lease {

/// Intents against a holder that lives, but isn't in our reach, are rare beside the silence bound.
static constexpr int intentsPerSilenceBound = 20;

void LeaseManager::considerClaim(Core::Instant now, std::vector<LeaseAction> &actions)
{
    // A witness withdraws only while it reaches the log: in an outage it would stop the holder and
    // help nobody.
    if (!m_register.isInitialized() || !isLogFresh(now))
        return;
    if (now < m_nextAppend || now < m_noClaimBefore)
        return;
    if (now < claimTime()) {
        announceTakeover(now, actions);
        return;
    }
    m_nextAppend = now + m_settings.appendRetryDelay;
    const ClaimRecord claim = makeClaim();
    m_claimsInDoubt.emplace(claim.id, claim.baseVersion);
    actions.emplace_back(AppendRecord { claim });
}

Core::Instant LeaseManager::claimTime() const
{
    const LeaseState &state = m_register.state();
    if (state.epoch == 0)
        return std::max(m_stateSeenAt, m_holderHeardAt) + m_settings.claimDelay + claimStagger();
    // The holder may have given commands that are valid until its last lease would have lapsed.
    if (state.end != LeaseEnd::None)
        return m_stateSeenAt + drifted(m_settings.leaseLength) + claimStagger();
    if (isWitness())
        return witnessClaimTime();
    if (m_intentSeenAt)
        return *m_intentSeenAt + drifted(m_settings.logSilenceBound) + claimStagger();
    return Core::Instant::max();
}

Core::Instant LeaseManager::witnessClaimTime() const
{
    Core::Instant time = m_promise.epoch >= epoch() ? m_promise.until : Core::Instant::min();
    // A new witness waits as long even if it never promised: commands that were given before it was
    // named may be valid for one lease length.
    if (m_guards.newWitnessesWait)
        time = std::max(time, m_stateSeenAt + drifted(m_settings.leaseLength));
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

void LeaseManager::announceTakeover(Core::Instant now, std::vector<LeaseAction> &actions)
{
    const LeaseState &state = m_register.state();
    if (state.epoch == 0 || state.end != LeaseEnd::None || state.hasOpenIntent || isWitness())
        return;
    const Core::Instant heardAt = std::max(m_holderHeardAt, m_stateSeenAt);
    if (now < heardAt + drifted(m_settings.leaseLength) + claimStagger() || now < m_nextIntent)
        return;
    if (hasReachableElector())
        return;
    m_nextAppend = now + m_settings.appendRetryDelay;
    m_nextIntent = now + m_settings.logSilenceBound / intentsPerSilenceBound;
    actions.emplace_back(AppendRecord { TakeoverIntentRecord { nextRecordId(), m_settings.self,
                                                               state.epoch, state.view.version } });
}

bool LeaseManager::hasReachableElector() const
{
    const LeaseState &state = m_register.state();
    const std::vector<Incarnation> peers = reachablePeers();
    return std::any_of(peers.begin(), peers.end(), [&](const Incarnation &peer) {
        return peer == state.holder || state.hasWitness(peer);
    });
}

ClaimRecord LeaseManager::makeClaim()
{
    const LeaseState &state = m_register.state();
    const std::vector<Core::VmId> &reservations = state.view.reservations;
    std::size_t seatCount = reservations.size();
    std::vector<Incarnation> witnesses;
    for (const Incarnation &peer : reachablePeers()) {
        const bool hasSeat = std::count(reservations.begin(), reservations.end(), peer.vm) > 0;
        if (!hasSeat && seatCount + 1 >= m_settings.maximumReservations)
            continue;
        seatCount += hasSeat ? 0 : 1;
        witnesses.push_back(peer);
    }
    return { nextRecordId(), m_settings.self, state.epoch + 1, state.view.version, witnesses };
}

} // namespace Lease
