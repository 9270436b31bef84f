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
/// The lease is valid while every recorded witness has promised, within the lease length, to claim
/// nothing; a witness whose promise has lapsed may claim through the log. So no two VMs hold it at
/// once, and a log outage alone ends no lease. docs/design/LEASE.md has the rules and their
/// reasons.
///
/// The machine is driven by the shell: records and stream ends from the log, messages from peers,
/// and poll() at nextWakeUp() or after any input.
class LeaseManager
{
public:
    /// \p now is the start of the process.
    LeaseManager(LeaseSettings settings, Core::Instant now);

    /// Reading (re)starts at \p firstOffset, the oldest retained offset. Must come first, and again
    /// when the reader fell behind retention.
    void onStreamStart(std::uint64_t firstOffset, Core::Instant now);
    void onRecord(std::uint64_t offset, const LeaseRecord &record, Core::Instant now);
    /// All records before \p endOffset, the end as of a read begun at \p readBegan, were applied.
    void onCaughtUp(std::uint64_t endOffset, Core::Instant readBegan);
    void onLogUnreachable() { m_isLogReachable = false; }
    void onAppendOutcome(const std::string &recordId, AppendOutcome outcome);

    PromiseResponse onPromiseRequest(const PromiseRequest &request, Core::Instant now);
    void onPromiseResponse(const PromiseResponse &answer, Core::Instant now);

    /// The reachable peers of the domain that are neither leaving nor gone, without this VM.
    void setCandidates(const std::vector<Incarnation> &candidates, Core::Instant now);
    /// Former members whose floor is certainly unused; the next witness set frees their seats.
    void setReleasableReservations(std::vector<Core::VmId> reservations)
    {
        m_releasableReservations = std::move(reservations);
    }
    /// How the holder wants the remainder of the slots to be divided.
    void setWeights(std::vector<MemberWeight> weights) { m_weights = std::move(weights); }
    /// Lets the next poll() ask all peers again.
    void requestRenewal() { m_nextRenewal = Core::Instant::min(); }
    /// Stops holding for good, and says so in the log if this VM is the holder.
    void release(Core::Instant now);

    std::vector<LeaseAction> poll(Core::Instant now);
    Core::Instant nextWakeUp(Core::Instant now) const;

    /// True if this VM may place at \p now. Ask again at the last moment before a command is sent.
    bool isHolder(Core::Instant now) const { return now < leaseDeadline(); }
    /// When this VM's lease lapses unless renewed; Instant::min() if it has none.
    Core::Instant leaseDeadline() const;

    /// True once the stream has been read up to its end.
    bool hasCaughtUp() const { return m_lastRead.has_value(); }

    const Incarnation &self() const { return m_settings.self; }
    const LeaseSettings &settings() const { return m_settings; }
    /// What the log says, as far as it was read.
    const LeaseStateReplica &replica() const { return m_register; }
    std::uint64_t epoch() const { return m_register.state().epoch; }
    /// The holder that the log names, if any. It may have died since.
    std::optional<Incarnation> recordedHolder() const;
    const std::vector<Incarnation> &witnessSet() const { return m_register.state().witnesses; }

protected:
    /// The rules that keep two VMs from holding at once. Only a test takes one out, to see its
    /// property fail.
    struct Guards
    {
        bool doubtCountsTwice = true;
        bool onlyWitnessesClaim = true;
        bool promiseBindsOneRun = true;
        bool withdrawalLasts = true;
        bool countsFromRequest = true;
        bool allowsForDrift = true;
        bool intentStopsClock = true;
        bool silenceEndsLease = true;
        bool newWitnessesWait = true;
        bool ownPromiseCounts = true;
    };

    LeaseManager(LeaseSettings settings, Core::Instant now, Guards guards);

private:
    struct PeerState
    {
        Core::Instant inReachSince = Core::Instant::min();
        Core::Instant lastAnswer = Core::Instant::min();
        /// When the request was sent that the peer's latest promise answers.
        Core::Instant promisedFrom = Core::Instant::min();
        bool hasRefused = false;
        bool isCandidate = false;
    };
    struct Promise
    {
        std::uint64_t epoch = 0;
        Core::Instant until = Core::Instant::min();
    };
    struct Round
    {
        std::uint64_t sequence = 0;
        Core::Instant sentAt;
    };
    struct PendingChange
    {
        std::string id;
        std::uint64_t baseVersion = 0;
        std::vector<Incarnation> witnesses;
    };

    bool isRecordedHolder() const;
    bool isSelf(const Incarnation &incarnation) const;
    bool isWitness() const;
    bool hasReachableElector() const;
    bool isLogFresh(Core::Instant now) const;
    Core::Duration drifted(Core::Duration length) const;
    Core::Instant earliestPromise(const std::vector<Incarnation> &witnesses) const;
    std::vector<Incarnation> desiredWitnesses(Core::Instant now) const;
    bool isLost(const Incarnation &witness, Core::Instant now) const;
    bool mayJoin(const Incarnation &candidate, Core::Instant now) const;
    std::vector<Incarnation> reachablePeers() const;
    std::vector<Core::VmId> seatsToRelease() const;
    bool hasOtherWeights() const;
    Core::Instant promiseDeadline(const Incarnation &witness) const;
    std::string nextRecordId();
    void onStateChanged(const LeaseState &before, Core::Instant now);
    void notePauses(Core::Instant now);
    void renew(Core::Instant now, std::vector<LeaseAction> &actions);
    void changeWitnesses(Core::Instant now, std::vector<LeaseAction> &actions);
    void writeSnapshot(Core::Instant now, std::vector<LeaseAction> &actions);
    void considerClaim(Core::Instant now, std::vector<LeaseAction> &actions);
    void announceTakeover(Core::Instant now, std::vector<LeaseAction> &actions);
    /// When this VM may claim against the current state; Instant::max() if it may not.
    Core::Instant claimTime() const;
    Core::Instant witnessClaimTime() const;
    Core::Duration claimStagger() const;
    ClaimRecord makeClaim();
    void writeRelease(Core::Instant now, std::vector<LeaseAction> &actions);

    LeaseSettings m_settings;
    Guards m_guards;
    LeaseStateReplica m_register;
    std::uint64_t m_appliedEnd = 0;

    bool m_isLogReachable = false;
    std::optional<Core::Instant> m_lastRead;
    /// The last read that showed no open intent against us.
    std::optional<Core::Instant> m_lastCleanRead;

    std::map<Incarnation, PeerState> m_peers;
    std::deque<Round> m_rounds;
    std::uint64_t m_sequence = 0;
    Core::Instant m_nextRenewal = Core::Instant::min();
    std::vector<PendingChange> m_pendingChanges;
    std::vector<Core::VmId> m_releasableReservations;
    std::vector<MemberWeight> m_weights;

    Promise m_promise;
    /// The base versions of this run's claims that may still land, by record id. A promise to a
    /// holder that has read no newer version could be broken by such a claim.
    std::map<std::string, std::uint64_t> m_claimsInDoubt;
    /// When the recorded holder was last heard of, or this process started.
    Core::Instant m_holderHeardAt = Core::Instant::min();
    /// When the current epoch, and the current version and end of it, were first read.
    Core::Instant m_epochSeenAt = Core::Instant::min();
    Core::Instant m_stateSeenAt = Core::Instant::min();
    std::optional<Core::Instant> m_intentSeenAt;
    /// After a pause the messages that waited meanwhile come first, then suspicions.
    Core::Instant m_noClaimBefore = Core::Instant::min();

    Core::Instant m_nextAppend = Core::Instant::min();
    Core::Instant m_nextIntent = Core::Instant::min();
    Core::Instant m_nextSnapshot = Core::Instant::min();
    std::optional<Core::Instant> m_lastPoll;
    std::uint64_t m_recordCount = 0;
    bool m_isReleased = false;
};

} // namespace Lease
