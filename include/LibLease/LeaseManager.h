#pragma once

#include <LibCore/Time.h>
#include <LibLease/LeaseAction.h>
#include <LibLease/LeaseMessages.h>
#include <LibLease/LeaseRecords.h>
#include <LibLease/LeaseSettings.h>
#include <LibLease/LeaseStateReplica.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Lease {

/// Decides whether this VM is the placer of its failure domain.
///
/// The lease is valid while every recorded witness has promised, within the lease length, not to
/// claim it. A witness whose promise has expired may claim the lease through the log. So at most
/// one VM holds the lease at a time, and a log outage alone doesn't end it. docs/design/LEASE.md
/// lists the rules and the reasons for them.
///
/// This class does no I/O. The caller passes in the records and ends of the stream and the messages
/// of the peers, and calls poll() at nextWakeUp() and after each input.
class LeaseManager
{
public:
    /// \p now is the time at which the process started.
    LeaseManager(LeaseSettings settings, Core::Instant now);

    /// Reading starts, or restarts, at \p firstOffset, the oldest retained offset. Must be called
    /// before the first record, and again when the reader has fallen behind the log's retention.
    void onStreamStart(std::uint64_t firstOffset, Core::Instant now);
    void onRecord(std::uint64_t offset, const LeaseRecord &record, Core::Instant now);
    /// All records before \p endOffset have been applied. \p endOffset was the end of the stream
    /// for a read that started at \p readBegan.
    void onCaughtUp(std::uint64_t endOffset, Core::Instant readBegan);
    void onLogUnreachable() { m_isLogReachable = false; }
    void onAppendOutcome(const std::string &recordId, AppendOutcome outcome);

    PromiseResponse onPromiseRequest(const PromiseRequest &request, Core::Instant now);
    void onPromiseResponse(const PromiseResponse &response, Core::Instant now);

    /// Sets the reachable peers of the domain that are neither shutting down nor dead. This
    /// VM is ignored in the list.
    void setCandidates(const std::vector<Incarnation> &candidates, Core::Instant now);
    /// Sets the former members that can no longer be using their minimum share. The next witness
    /// set releases their reservations.
    void setReleasableReservations(std::vector<Core::VmId> vms)
    {
        m_releasableReservations = std::move(vms);
    }
    /// Sets the weights by which the unreserved slots are divided while this VM is the holder.
    void setWeights(std::vector<MemberWeight> weights) { m_weights = std::move(weights); }
    /// Makes the next poll() send promise requests to all peers.
    void requestRenewal() { m_nextRenewalAt = Core::Instant::min(); }
    /// Gives up the lease permanently. If this VM is the holder, poll() records the release in the
    /// log.
    void release(Core::Instant now);

    std::vector<LeaseAction> poll(Core::Instant now);
    Core::Instant nextWakeUp(Core::Instant now) const;

    /// True if this VM may place at \p now. Check again immediately before sending a command.
    bool isHolder(Core::Instant now) const { return now < leaseDeadline(); }
    /// When this VM's lease expires unless it is renewed; Instant::min() if this VM has no lease.
    Core::Instant leaseDeadline() const;

    /// True once the stream has been read up to its end.
    bool hasCaughtUp() const { return m_lastReadAt.has_value(); }

    const Incarnation &self() const { return m_settings.self; }
    const LeaseSettings &settings() const { return m_settings; }
    /// The lease state according to the records that have been read so far.
    const LeaseStateReplica &replica() const { return m_replica; }
    std::uint64_t epoch() const { return m_replica.state().epoch; }
    /// The holder according to the log, if there is one. It may have died since.
    std::optional<Incarnation> recordedHolder() const;
    const std::vector<Incarnation> &witnessSet() const { return m_replica.state().witnesses; }

protected:
    /// The rules that prevent two VMs from holding the lease at once. Only tests disable one, to
    /// check that its property is then violated.
    struct Guards
    {
        bool countsUnconfirmedWitnessSets = true;
        bool onlyWitnessesClaim = true;
        bool promiseBindsIncarnation = true;
        bool refusesPromiseWhileClaiming = true;
        bool promiseStartsAtRequest = true;
        bool allowsForClockDrift = true;
        bool openIntentEndsLease = true;
        bool logSilenceEndsLease = true;
        bool newWitnessesWait = true;
        bool requestLimitsLease = true;
    };

    LeaseManager(LeaseSettings settings, Core::Instant now, Guards guards);

private:
    struct PeerState
    {
        Core::Instant reachableSince = Core::Instant::min();
        Core::Instant lastResponseAt = Core::Instant::min();
        /// When the request was sent that the peer granted last.
        Core::Instant promiseStart = Core::Instant::min();
        bool hasRefused = false;
        bool isCandidate = false;
    };
    struct Promise
    {
        std::uint64_t epoch = 0;
        Core::Instant until = Core::Instant::min();
    };
    struct RenewalRound
    {
        std::uint64_t sequence = 0;
        Core::Instant sentAt;
    };
    struct PendingWitnessSet
    {
        std::string id;
        std::uint64_t baseVersion = 0;
        std::vector<Incarnation> witnesses;
    };

    bool isRecordedHolder() const;
    bool isSelf(const Incarnation &incarnation) const;
    bool isWitness() const;
    bool hasReachableHolderOrWitness() const;
    bool isLogFresh(Core::Instant now) const;
    Core::Duration withDriftAllowance(Core::Duration length) const;
    Core::Instant earliestPromiseDeadline(const std::vector<Incarnation> &witnesses) const;
    std::vector<Incarnation> desiredWitnesses(Core::Instant now) const;
    bool isLost(const Incarnation &witness, Core::Instant now) const;
    bool canBecomeWitness(const Incarnation &candidate, Core::Instant now) const;
    std::vector<Incarnation> reachablePeers() const;
    std::vector<Core::VmId> reservationsToRelease() const;
    bool haveWeightsChanged() const;
    Core::Instant promiseDeadline(const Incarnation &witness) const;
    std::string nextRecordId();
    void onStateChanged(const LeaseState &before, Core::Instant now);
    void detectPause(Core::Instant now);
    void renew(Core::Instant now, std::vector<LeaseAction> &actions);
    void updateWitnesses(Core::Instant now, std::vector<LeaseAction> &actions);
    void writeSnapshot(Core::Instant now, std::vector<LeaseAction> &actions);
    void claimIfDue(Core::Instant now, std::vector<LeaseAction> &actions);
    void announceTakeoverIfDue(Core::Instant now, std::vector<LeaseAction> &actions);
    /// When this VM may claim the lease in the current state; Instant::max() if it may not.
    Core::Instant claimTime() const;
    Core::Instant witnessClaimTime() const;
    Core::Duration claimStagger() const;
    ClaimRecord makeClaim();
    void writeRelease(Core::Instant now, std::vector<LeaseAction> &actions);

    LeaseSettings m_settings;
    Guards m_guards;
    LeaseStateReplica m_replica;
    std::uint64_t m_appliedEndOffset = 0;

    bool m_isLogReachable = false;
    std::optional<Core::Instant> m_lastReadAt;
    /// The last read that showed no open intent to take over from this VM.
    std::optional<Core::Instant> m_lastReadWithoutIntentAt;

    std::map<Incarnation, PeerState> m_peers;
    std::deque<RenewalRound> m_rounds;
    std::uint64_t m_sequence = 0;
    Core::Instant m_nextRenewalAt = Core::Instant::min();
    std::vector<PendingWitnessSet> m_pendingWitnessSets;
    std::vector<Core::VmId> m_releasableReservations;
    std::vector<MemberWeight> m_weights;

    Promise m_promise;
    /// The base versions of this process's claims that may still be appended, by record id. Such a
    /// claim could break a promise to a holder that has read no newer version.
    std::map<std::string, std::uint64_t> m_unconfirmedClaims;
    /// When the recorded holder's last message was received, or this process started.
    Core::Instant m_lastHolderContactAt = Core::Instant::min();
    /// When the current epoch, and the current version and end of it, were first read.
    Core::Instant m_epochReadAt = Core::Instant::min();
    Core::Instant m_stateReadAt = Core::Instant::min();
    std::optional<Core::Instant> m_intentReadAt;
    /// After a pause of the process, queued messages are handled before the holder is suspected.
    Core::Instant m_earliestClaimAt = Core::Instant::min();

    Core::Instant m_nextAppendAt = Core::Instant::min();
    Core::Instant m_nextIntentAt = Core::Instant::min();
    Core::Instant m_nextSnapshotAt = Core::Instant::min();
    std::optional<Core::Instant> m_lastPollAt;
    std::uint64_t m_lastRecordNumber = 0;
    bool m_isReleased = false;
};

} // namespace Lease
