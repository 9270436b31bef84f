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
    , m_holderHeardAt(now)
{
}

void LeaseManager::onStreamStart(std::uint64_t firstOffset, Core::Instant now)
{
    const LeaseState before = m_register.state();
    m_register.start(firstOffset);
    m_appliedEnd = firstOffset;
    m_lastRead.reset();
    m_lastCleanRead.reset();
    onStateChanged(before, now);
}

void LeaseManager::onRecord(std::uint64_t offset, const LeaseRecord &record, Core::Instant now)
{
    const LeaseState before = m_register.state();
    m_appliedEnd = std::max(m_appliedEnd, offset + 1);
    if (m_register.apply(offset, record))
        onStateChanged(before, now);
}

void LeaseManager::onCaughtUp(std::uint64_t endOffset, Core::Instant readBegan)
{
    m_appliedEnd = std::max(m_appliedEnd, endOffset);
    m_isLogReachable = true;
    m_lastRead = readBegan;
    // A holder that keeps reading, but can't append the answer to an intent, must stop too.
    if (!m_register.state().hasOpenIntent || !m_guards.intentStopsClock)
        m_lastCleanRead = readBegan;
}

void LeaseManager::onAppendOutcome(const std::string &recordId, AppendOutcome outcome)
{
    if (outcome != AppendOutcome::NotAppended)
        return;
    m_claimsInDoubt.erase(recordId);
    std::erase_if(m_pendingChanges,
                  [&](const PendingChange &change) { return change.id == recordId; });
}

void LeaseManager::onStateChanged(const LeaseState &before, Core::Instant now)
{
    const LeaseState &state = m_register.state();
    if (state.epoch != before.epoch) {
        m_epochSeenAt = now;
        m_holderHeardAt = std::max(m_holderHeardAt, now);
        m_nextRenewal = now;
        m_nextAppend = now;
        m_nextSnapshot = now;
        m_rounds.clear();
        for (auto &[incarnation, peer] : m_peers) {
            peer.promisedFrom = Core::Instant::min();
            peer.hasRefused = false;
        }
    }
    if (state.view.version != before.view.version) {
        m_intentSeenAt.reset();
        m_nextAppend = now;
    }
    if (state.view.version != before.view.version || state.end != before.end)
        m_stateSeenAt = now;
    if (state.hasOpenIntent && !m_intentSeenAt)
        m_intentSeenAt = now;
    std::erase_if(m_pendingChanges, [&](const PendingChange &change) {
        return change.baseVersion < state.view.version;
    });
    std::erase_if(m_claimsInDoubt,
                  [&](const auto &claim) { return claim.second < state.view.version; });
}

PromiseResponse LeaseManager::onPromiseRequest(const PromiseRequest &request, Core::Instant now)
{
    PromiseResponse answer;
    answer.from = m_settings.self;
    answer.epoch = request.epoch;
    answer.sequence = request.sequence;
    if (!isSelf(request.to))
        return answer;
    if (!m_guards.promiseBindsOneRun)
        answer.from = request.to;
    if (request.epoch < epoch())
        return answer;
    const bool hasWithdrawn
        = std::any_of(m_claimsInDoubt.begin(), m_claimsInDoubt.end(),
                      [&](const auto &claim) { return claim.second >= request.version; });
    if (hasWithdrawn && m_guards.withdrawalLasts)
        return answer;

    if (request.epoch > m_promise.epoch)
        m_promise = { request.epoch, now };
    m_promise.until = std::max(m_promise.until, now + drifted(request.leaseLength));
    m_holderHeardAt = now;
    answer.isGranted = true;
    return answer;
}

void LeaseManager::onPromiseResponse(const PromiseResponse &answer, Core::Instant now)
{
    if (!isRecordedHolder() || answer.epoch != epoch())
        return;
    const auto round = std::find_if(m_rounds.begin(), m_rounds.end(), [&](const Round &sent) {
        return sent.sequence == answer.sequence;
    });
    if (round == m_rounds.end())
        return;
    PeerState &peer = m_peers[answer.from];
    if (!answer.isGranted) {
        peer.hasRefused = true;
        // A new run answers for a VM whose earlier run is gone.
        for (auto &[incarnation, other] : m_peers) {
            if (incarnation.vm == answer.from.vm)
                other.hasRefused = true;
        }
        return;
    }
    const Core::Instant promisedFrom = m_guards.countsFromRequest ? round->sentAt : now;
    peer.promisedFrom = std::max(peer.promisedFrom, promisedFrom);
    if (now - m_settings.witnessTimeout > peer.lastAnswer)
        peer.inReachSince = now;
    peer.lastAnswer = now;
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
            peer.inReachSince = now;
        peer.isCandidate = true;
    }
    // Runs that are gone for good would otherwise gather over the weeks.
    std::erase_if(m_peers, [&](const auto &entry) {
        const PeerState &peer = entry.second;
        const bool isNeeded = promiseDeadline(entry.first) > now;
        return !peer.isCandidate && !isNeeded && !m_register.state().hasWitness(entry.first);
    });
}

void LeaseManager::release(Core::Instant now)
{
    if (m_isReleased)
        return;
    m_isReleased = true;
    m_nextAppend = now;
}

std::vector<LeaseAction> LeaseManager::poll(Core::Instant now)
{
    std::vector<LeaseAction> actions;
    notePauses(now);
    if (m_isReleased) {
        writeRelease(now, actions);
        return actions;
    }
    if (isRecordedHolder()) {
        renew(now, actions);
        changeWitnesses(now, actions);
        writeSnapshot(now, actions);
        return actions;
    }
    considerClaim(now, actions);
    return actions;
}

Core::Instant LeaseManager::nextWakeUp(Core::Instant now) const
{
    const Core::Instant usual = now + m_settings.claimDelay;
    if (!isRecordedHolder())
        return usual;
    return std::clamp(m_nextRenewal, now + std::chrono::milliseconds(1), usual);
}

void LeaseManager::notePauses(Core::Instant now)
{
    if (m_lastPoll && now - *m_lastPoll > m_settings.renewInterval)
        m_noClaimBefore = now + m_settings.renewInterval;
    m_lastPoll = now;
}

Core::Instant LeaseManager::leaseDeadline() const
{
    if (!isRecordedHolder() || !m_lastCleanRead || m_rounds.empty())
        return Core::Instant::min();
    Core::Instant deadline = *m_lastCleanRead + m_settings.logSilenceBound;
    if (!m_guards.silenceEndsLease)
        deadline = Core::Instant::max();
    // Without witnesses no deadline reaches further either: whoever claims after a release or an
    // operator's word waits for one lease length.
    if (m_guards.ownPromiseCounts)
        deadline = std::min(deadline, m_rounds.back().sentAt + m_settings.leaseLength);
    deadline = std::min(deadline, earliestPromise(witnessSet()));
    if (!m_guards.doubtCountsTwice)
        return deadline;
    // Each change whose outcome we haven't read may already be in force.
    for (const PendingChange &change : m_pendingChanges)
        deadline = std::min(deadline, earliestPromise(change.witnesses));
    return deadline;
}

Core::Instant LeaseManager::earliestPromise(const std::vector<Incarnation> &witnesses) const
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
    return peer->second.promisedFrom + m_settings.leaseLength;
}

std::optional<Incarnation> LeaseManager::recordedHolder() const
{
    if (epoch() == 0)
        return std::nullopt;
    return m_register.state().holder;
}

bool LeaseManager::isRecordedHolder() const
{
    const LeaseState &state = m_register.state();
    return !m_isReleased && m_register.isInitialized() && state.epoch > 0
        && state.end == LeaseEnd::None && isSelf(state.holder);
}

bool LeaseManager::isSelf(const Incarnation &incarnation) const
{
    if (!m_guards.promiseBindsOneRun)
        return incarnation.vm == m_settings.self.vm;
    return incarnation == m_settings.self;
}

bool LeaseManager::isLogFresh(Core::Instant now) const
{
    return m_isLogReachable && m_lastRead && now - *m_lastRead <= m_settings.maximumLogAge;
}

Core::Duration LeaseManager::drifted(Core::Duration length) const
{
    return m_guards.allowsForDrift ? m_settings.withDriftAllowance(length) : length;
}

std::string LeaseManager::nextRecordId()
{
    ++m_recordCount;
    return m_settings.self.vm.text() + "/" + m_settings.self.run + "/lease-"
        + std::to_string(m_recordCount);
}

} // namespace Lease
