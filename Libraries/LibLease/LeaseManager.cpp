#include <LibLease/LeaseManager.h>

#include <algorithm>
#include <utility>

namespace Lease {

LeaseManager::LeaseManager(LeaseSettings settings, Core::Instant now)
    : LeaseManager(std::move(settings), now, Guards {})
{
}

LeaseManager::LeaseManager(LeaseSettings settings, Core::Instant now, Guards guards)
    : m_settings(std::move(settings))
    , m_guards(guards)
    , m_lastHolderContactAt(now)
{
}

void LeaseManager::onStreamStart(std::uint64_t firstOffset, Core::Instant now)
{
    const LeaseState before = m_replica.state();
    m_replica.start(firstOffset);
    m_appliedEndOffset = firstOffset;
    m_lastReadAt.reset();
    m_lastReadWithoutIntentAt.reset();
    onStateChanged(before, now);
}

void LeaseManager::onRecord(std::uint64_t offset, const LeaseRecord &record, Core::Instant now)
{
    const LeaseState before = m_replica.state();
    m_appliedEndOffset = std::max(m_appliedEndOffset, offset + 1);
    if (m_replica.apply(offset, record))
        onStateChanged(before, now);
}

void LeaseManager::onCaughtUp(std::uint64_t endOffset, Core::Instant readBegan)
{
    m_appliedEndOffset = std::max(m_appliedEndOffset, endOffset);
    m_isLogReachable = true;
    m_lastReadAt = readBegan;
    // A holder that can read the log but can't append the witness set that cancels an intent must
    // stop too.
    if (!m_replica.state().hasOpenIntent || !m_guards.openIntentEndsLease)
        m_lastReadWithoutIntentAt = readBegan;
}

void LeaseManager::onAppendOutcome(const std::string &recordId, AppendOutcome outcome)
{
    if (outcome != AppendOutcome::NotAppended)
        return;
    m_unconfirmedClaims.erase(recordId);
    std::erase_if(m_pendingWitnessSets,
                  [&](const PendingWitnessSet &pending) { return pending.id == recordId; });
}

void LeaseManager::onStateChanged(const LeaseState &before, Core::Instant now)
{
    const LeaseState &state = m_replica.state();
    if (state.epoch != before.epoch) {
        m_epochReadAt = now;
        m_lastHolderContactAt = std::max(m_lastHolderContactAt, now);
        m_nextRenewalAt = now;
        m_nextAppendAt = now;
        m_nextSnapshotAt = now;
        m_rounds.clear();
        for (auto &[incarnation, peer] : m_peers) {
            peer.promiseStart = Core::Instant::min();
            peer.hasRefused = false;
        }
    }
    if (state.view.version != before.view.version) {
        m_intentReadAt.reset();
        m_nextAppendAt = now;
    }
    if (state.view.version != before.view.version || state.end != before.end)
        m_stateReadAt = now;
    if (state.hasOpenIntent && !m_intentReadAt)
        m_intentReadAt = now;
    std::erase_if(m_pendingWitnessSets, [&](const PendingWitnessSet &pending) {
        return pending.baseVersion < state.view.version;
    });
    std::erase_if(m_unconfirmedClaims,
                  [&](const auto &claim) { return claim.second < state.view.version; });
}

PromiseResponse LeaseManager::onPromiseRequest(const PromiseRequest &request, Core::Instant now)
{
    PromiseResponse response;
    response.from = m_settings.self;
    response.epoch = request.epoch;
    response.sequence = request.sequence;
    if (!isSelf(request.to))
        return response;
    if (!m_guards.promiseBindsIncarnation)
        response.from = request.to;
    if (request.epoch < epoch())
        return response;
    const bool hasPendingClaim
        = std::any_of(m_unconfirmedClaims.begin(), m_unconfirmedClaims.end(),
                      [&](const auto &claim) { return claim.second >= request.version; });
    if (hasPendingClaim && m_guards.refusesPromiseWhileClaiming)
        return response;

    if (request.epoch > m_promise.epoch)
        m_promise = { request.epoch, now };
    m_promise.until = std::max(m_promise.until, now + withDriftAllowance(request.leaseLength));
    m_lastHolderContactAt = now;
    response.isGranted = true;
    return response;
}

void LeaseManager::onPromiseResponse(const PromiseResponse &response, Core::Instant now)
{
    if (!isRecordedHolder() || response.epoch != epoch())
        return;
    const auto round
        = std::find_if(m_rounds.begin(), m_rounds.end(), [&](const RenewalRound &sent) {
              return sent.sequence == response.sequence;
          });
    if (round == m_rounds.end())
        return;
    PeerState &peer = m_peers[response.from];
    if (!response.isGranted) {
        peer.hasRefused = true;
        // A refusal may come from a newer incarnation than the one that was asked. The older ones
        // on that VM have ended.
        for (auto &[incarnation, other] : m_peers) {
            if (incarnation.vm == response.from.vm)
                other.hasRefused = true;
        }
        return;
    }
    const Core::Instant promiseStart = m_guards.promiseStartsAtRequest ? round->sentAt : now;
    peer.promiseStart = std::max(peer.promiseStart, promiseStart);
    if (now - m_settings.witnessTimeout > peer.lastResponseAt)
        peer.reachableSince = now;
    peer.lastResponseAt = now;
    peer.hasRefused = false;
}

void LeaseManager::setCandidates(const std::vector<Incarnation> &candidates, Core::Instant now)
{
    for (auto &[incarnation, peer] : m_peers) {
        if (std::find(candidates.begin(), candidates.end(), incarnation) == candidates.end())
            peer.isCandidate = false;
    }
    for (const Incarnation &candidate : candidates) {
        if (candidate.vm == m_settings.self.vm)
            continue;
        PeerState &peer = m_peers[candidate];
        if (!peer.isCandidate)
            peer.reachableSince = now;
        peer.isCandidate = true;
    }
    // Otherwise the incarnations of restarted processes would accumulate over weeks.
    std::erase_if(m_peers, [&](const auto &entry) {
        const PeerState &peer = entry.second;
        const bool isNeeded = promiseDeadline(entry.first) > now;
        return !peer.isCandidate && !isNeeded && !m_replica.state().hasWitness(entry.first);
    });
}

void LeaseManager::release(Core::Instant now)
{
    if (m_isReleased)
        return;
    m_isReleased = true;
    m_nextAppendAt = now;
}

std::vector<LeaseAction> LeaseManager::poll(Core::Instant now)
{
    std::vector<LeaseAction> actions;
    detectPause(now);
    if (m_isReleased) {
        writeRelease(now, actions);
        return actions;
    }
    if (isRecordedHolder()) {
        renew(now, actions);
        updateWitnesses(now, actions);
        writeSnapshot(now, actions);
        return actions;
    }
    claimIfDue(now, actions);
    return actions;
}

Core::Instant LeaseManager::nextWakeUp(Core::Instant now) const
{
    const Core::Instant latestWakeUp = now + m_settings.claimDelay;
    if (!isRecordedHolder())
        return latestWakeUp;
    return std::clamp(m_nextRenewalAt, now + std::chrono::milliseconds(1), latestWakeUp);
}

void LeaseManager::detectPause(Core::Instant now)
{
    if (m_lastPollAt && now - *m_lastPollAt > m_settings.renewInterval)
        m_earliestClaimAt = now + m_settings.renewInterval;
    m_lastPollAt = now;
}

Core::Instant LeaseManager::leaseDeadline() const
{
    if (!isRecordedHolder() || !m_lastReadWithoutIntentAt || m_rounds.empty())
        return Core::Instant::min();
    Core::Instant deadline = *m_lastReadWithoutIntentAt + m_settings.logSilenceBound;
    if (!m_guards.logSilenceEndsLease)
        deadline = Core::Instant::max();
    // Without witnesses the lease isn't longer either: a VM that claims it after a release or an
    // operator's takeover waits for one lease length.
    if (m_guards.requestLimitsLease)
        deadline = std::min(deadline, m_rounds.back().sentAt + m_settings.leaseLength);
    deadline = std::min(deadline, earliestPromiseDeadline(witnessSet()));
    if (!m_guards.countsUnconfirmedWitnessSets)
        return deadline;
    // Each witness set whose outcome hasn't been read yet may already be in the log.
    for (const PendingWitnessSet &pending : m_pendingWitnessSets)
        deadline = std::min(deadline, earliestPromiseDeadline(pending.witnesses));
    return deadline;
}

Core::Instant LeaseManager::earliestPromiseDeadline(const std::vector<Incarnation> &witnesses) const
{
    Core::Instant earliest = Core::Instant::max();
    for (const Incarnation &witness : witnesses)
        earliest = std::min(earliest, promiseDeadline(witness));
    return earliest;
}

Core::Instant LeaseManager::promiseDeadline(const Incarnation &witness) const
{
    const auto peer = m_peers.find(witness);
    if (peer == m_peers.end())
        return Core::Instant::min();
    return peer->second.promiseStart + m_settings.leaseLength;
}

std::optional<Incarnation> LeaseManager::recordedHolder() const
{
    if (epoch() == 0)
        return std::nullopt;
    return m_replica.state().holder;
}

bool LeaseManager::isRecordedHolder() const
{
    const LeaseState &state = m_replica.state();
    return !m_isReleased && m_replica.isInitialized() && state.epoch > 0
        && state.end == LeaseEnd::None && isSelf(state.holder);
}

bool LeaseManager::isSelf(const Incarnation &incarnation) const
{
    if (!m_guards.promiseBindsIncarnation)
        return incarnation.vm == m_settings.self.vm;
    return incarnation == m_settings.self;
}

bool LeaseManager::isLogFresh(Core::Instant now) const
{
    return m_isLogReachable && m_lastReadAt && now - *m_lastReadAt <= m_settings.maximumLogAge;
}

Core::Duration LeaseManager::withDriftAllowance(Core::Duration length) const
{
    return m_guards.allowsForClockDrift ? m_settings.withDriftAllowance(length) : length;
}

std::string LeaseManager::nextRecordId()
{
    ++m_lastRecordNumber;
    return m_settings.self.vm.text() + "/" + m_settings.self.runId + "/lease-"
        + std::to_string(m_lastRecordNumber);
}

} // namespace Lease
