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

/// Tracks the membership of a failure domain. While this VM holds the domain's lease, it grants
/// member leases to the members; on every VM it tracks that VM's own member lease.
///
/// It wraps the LeaseManager: the caller passes peers' messages and poll() calls to this class, and
/// the log's records to the LeaseManager.
class MembershipManager
{
public:
    /// \p now is the time at which the process started. \p lease must outlive this object.
    MembershipManager(LeaseManager &lease, MembershipSettings settings, Core::Instant now);

    std::vector<LeaseAction> poll(Core::Instant now);
    PromiseResponse onPromiseRequest(const PromiseRequest &request, Core::Instant now);
    void onPromiseResponse(const PromiseResponse &response, Core::Instant now);

    /// Reports that the active requests and open connections of every backend server don't exceed
    /// SlotShares::limitFor(). Optional: without it, the holder waits for the maximum request
    /// duration.
    void markDrained(Core::Instant now);

    /// Sets the number of slots over all backend servers for which this VM recently had work:
    /// active and waiting requests, averaged over several seconds. Optional: without it, the
    /// weights stay equal.
    void setDemand(int slots) { m_demand = slots; }

    bool isMember(Core::Instant now) const { return now < m_leaseUntil; }
    /// When this VM's membership ends unless its lease is renewed.
    Core::Instant memberUntil() const { return m_leaseUntil; }
    /// The latest view that this VM has received; version 0 if there is none.
    const DomainView &view() const;
    /// Since when this VM has been a member without interruption.
    std::optional<Core::Instant> memberSince(Core::Instant now) const;

    /// The views whose shares limit this VM at \p now, from the settled version to the latest one.
    /// Empty if this VM may use nothing. Valid until the next call of poll() or onPromiseRequest().
    std::vector<const DomainView *> effectiveViews(Core::Instant now) const;
    /// True if only the minimum share may be used at \p now.
    bool isLimitedToMinimum(Core::Instant now) const { return !isMember(now); }

    const Core::VmId &self() const { return m_lease.self().vm; }
    const MembershipSettings &settings() const { return m_settings; }

protected:
    /// The rules that keep the sum of the shares within a backend server's limits. Only tests
    /// disable one, to check that its property is then violated.
    struct Guards
    {
        bool waitsForSettledVersion = true;
        bool waitsForActiveRequests = true;
        bool leaseStartsAtAcknowledgement = true;
        bool keepsReservations = true;
        bool waitsAfterRestart = true;
    };

    MembershipManager(LeaseManager &lease, MembershipSettings settings, Core::Instant now,
                      Guards guards);

private:
    /// What the holder knows about one incarnation of a member.
    struct MemberState
    {
        std::optional<Core::Instant> lastAcknowledgedAt;
        Core::Instant lastGrantAt = Core::Instant::min();
        std::uint64_t version = 0;
        Core::Instant versionSince = Core::Instant::min();
        std::uint64_t drainedVersion = 0;
        int demand = 0;
    };

    std::optional<MemberGrant> makeGrant(const Incarnation &member, Core::Instant now);
    void grantToSelf(Core::Instant now);
    void applyGrant(const MemberGrant &grant, Core::Instant now);
    void applyAcknowledgement(const Incarnation &member,
                              const MemberAcknowledgement &acknowledgement, Core::Instant now);
    void updateSettledVersion(Core::Instant now);
    void updateWeights(Core::Instant now);
    std::vector<MemberWeight> weightsByDemand() const;
    int demandOf(const Core::VmId &vm) const;
    bool hasStoppedUsingOlderViews(const Core::VmId &vm, std::uint64_t version,
                                   Core::Instant now) const;
    Core::Instant lastGrantTo(const Core::VmId &vm) const;
    std::set<Core::VmId> possiblyLeasedMembers() const;
    Core::Instant unknownGrantsExpiry() const;
    std::vector<Core::VmId> releasableReservations(Core::Instant now) const;
    void resetOnNewEpoch(Core::Instant now);
    void checkForEarlierIncarnation();
    bool hasWaitedForEarlierIncarnation(Core::Instant now) const;
    Core::Duration maximumRequestDuration() const;
    Core::Duration withDriftAllowance(Core::Duration length) const;

    LeaseManager &m_lease;
    MembershipSettings m_settings;
    Guards m_guards;
    Core::Instant m_startedAt;
    /// Whether requests of an earlier incarnation on this VM may still be active; unset until the
    /// log has been read.
    std::optional<bool> m_mayHaveEarlierIncarnation;

    /// State of the holder.
    std::map<Incarnation, MemberState> m_members;
    Core::Instant m_nextWeightUpdateAt = Core::Instant::min();
    std::uint64_t m_heldEpoch = 0;
    Core::Instant m_heldSince = Core::Instant::max();

    /// State of a member.
    std::map<std::uint64_t, DomainView> m_views;
    std::uint64_t m_settledVersion = 0;
    std::uint64_t m_latestVersion = 0;
    std::uint64_t m_drainedVersion = 0;
    int m_demand = 0;
    Core::Instant m_leaseUntil = Core::Instant::min();
    Core::Instant m_minimumShareUntil = Core::Instant::min();
    std::optional<Core::Instant> m_memberSince;
};

} // namespace Lease
