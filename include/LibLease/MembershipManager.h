#pragma once

#include <LibCore/Time.h>
#include <LibLease/DomainView.h>
#include <LibLease/LeaseManager.h>
#include <LibLease/MembershipSettings.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Lease {

/// Keeps track of the members of the failure domain: grants member leases while this VM holds the
/// domain's lease, and counts its own one on every VM. It stands in front of the LeaseManager: the
/// shell passes peers' messages and poll() through here, and the log's records to the LeaseManager.
class MembershipManager
{
public:
    /// \p now is the start of the process. \p lease must outlive this object.
    MembershipManager(LeaseManager &lease, MembershipSettings settings, Core::Instant now);

    std::vector<LeaseAction> poll(Core::Instant now);
    PromiseResponse onPromiseRequest(const PromiseRequest &request, Core::Instant now);
    void onPromiseResponse(const PromiseResponse &answer, Core::Instant now);

    /// Says that the requests in work and the open connections of every backend server are within
    /// SlotShares::limitFor(). Optional: without it the longest request time is waited for.
    void markDrained(Core::Instant now);

    /// How many slots over all backend servers this VM would use lately: requests in work and
    /// waiting, averaged over some seconds. Optional: without it the shares stay even.
    void setDemand(int slots) { m_demand = slots; }

    bool isMember(Core::Instant now) const { return now < m_leaseUntil; }
    /// Until when this VM is a member unless its lease is renewed.
    Core::Instant memberUntil() const { return m_leaseUntil; }
    /// The latest view that this VM obeys; version 0 if it knows none.
    const DomainView &view() const;
    /// Since when this VM has been a member without a break.
    std::optional<Core::Instant> memberSince(Core::Instant now) const;

    /// The views whose shares bind this VM at \p now: from the settled one to the latest. Empty if
    /// it may use nothing. Valid until the next call of poll() or onPromiseRequest().
    std::vector<const DomainView *> effectiveViews(Core::Instant now) const;
    /// True if at most the floor may be used at \p now.
    bool isLimitedToMinimum(Core::Instant now) const { return !isMember(now); }

    const Core::VmId &self() const { return m_lease.self().vm; }
    const MembershipSettings &settings() const { return m_settings; }

protected:
    /// The rules that keep the shares' sum within a backend server's limits. Only a test takes one
    /// out, to see its property fail.
    struct Guards
    {
        bool waitsForSettlement = true;
        bool waitsForRequests = true;
        bool leaseRunsFromStamp = true;
        bool reservesFloors = true;
        bool waitsAfterRestart = true;
    };

    MembershipManager(LeaseManager &lease, MembershipSettings settings, Core::Instant now,
                      Guards guards);

private:
    /// What the holder knows of one run of a member.
    struct MemberState
    {
        std::optional<Core::Instant> lastStamp;
        Core::Instant lastGrant = Core::Instant::min();
        std::uint64_t version = 0;
        Core::Instant versionSince = Core::Instant::min();
        std::uint64_t drainedVersion = 0;
        int demand = 0;
    };

    std::optional<MemberGrant> makeGrant(const Incarnation &member, Core::Instant now);
    void grantToSelf(Core::Instant now);
    void applyGrant(const MemberGrant &grant, Core::Instant now);
    void applyAcknowledgement(const Incarnation &member, const MemberAcknowledgement &answer,
                              Core::Instant now);
    void settle(Core::Instant now);
    void reweigh(Core::Instant now);
    std::vector<MemberWeight> weightsByDemand() const;
    int demandOf(const Core::VmId &vm) const;
    bool obeysView(const Core::VmId &vm, std::uint64_t version, Core::Instant now) const;
    Core::Instant lastGrantTo(const Core::VmId &vm) const;
    std::set<Core::VmId> possiblyLeased() const;
    Core::Instant unknownGrantsEnd() const;
    std::vector<Core::VmId> releasableSeats(Core::Instant now) const;
    void noteHeldEpoch(Core::Instant now);
    void noteEarlierRun();
    bool hasWaitedForEarlierRun(Core::Instant now) const;
    Core::Duration maximumRequestDuration() const;
    Core::Duration withDriftAllowance(Core::Duration length) const;

    LeaseManager &m_lease;
    MembershipSettings m_settings;
    Guards m_guards;
    Core::Instant m_startedAt;
    /// Whether requests of an earlier run of this VM may still be in work; unset until the log
    /// has been read.
    std::optional<bool> m_mayHaveEarlierRun;

    /// As the holder.
    std::map<Incarnation, MemberState> m_members;
    Core::Instant m_nextReweighing = Core::Instant::min();
    std::uint64_t m_heldEpoch = 0;
    Core::Instant m_heldSince = Core::Instant::max();

    /// As a member.
    std::map<std::uint64_t, DomainView> m_views;
    std::uint64_t m_settledVersion = 0;
    std::uint64_t m_latestVersion = 0;
    std::uint64_t m_drainedVersion = 0;
    int m_demand = 0;
    Core::Instant m_leaseUntil = Core::Instant::min();
    Core::Instant m_floorUntil = Core::Instant::min();
    std::optional<Core::Instant> m_memberSince;
};

} // namespace Lease
