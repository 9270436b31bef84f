#pragma once

#include <LibCore/Time.h>
#include <LibJob/JobRecord.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace Jobs {

struct OwnerMonitorSettings
{
    /// An owner that hasn't written for this long is considered dead.
    Core::Duration ownerTimeout = std::chrono::milliseconds(1600);
    /// For this long after a node has taken over from an owner that didn't release the jobs, the
    /// timeout is doubled: a takeover is an owner's heaviest load, and another one would only add
    /// to it. Twice the timeout must be less than `SchedulerSettings::ownershipProofTimeout`.
    Core::Duration takeoverGrace = std::chrono::seconds(10);
    /// Each node delays its claim by up to this time, so that few nodes claim simultaneously.
    Core::Duration maxClaimJitter = std::chrono::milliseconds(300);
    /// Bandwidth of this node's link; infinity if it is unknown. The owner receives the reports of
    /// all workers, so a node with too little bandwidth lets other nodes claim first.
    double linkMegabitsPerSecond = std::numeric_limits<double>::infinity();
    /// Share of a core that this node's process may use; infinity if it is unknown. A node with a
    /// small share lets others claim first only if its link is slow, too: a site may consist of
    /// small nodes with fast links.
    double processorShare = std::numeric_limits<double>::infinity();

    auto operator<=>(const OwnerMonitorSettings &) const = default;
};

/// Monitors the owner by the records in the store, and decides whether this node should claim the
/// site's jobs.
///
/// The timeout runs only while this node can read the store: an owner that can't write because the
/// store is down for all nodes isn't considered dead. Instants are on the steady clock.
class OwnerMonitor
{
public:
    OwnerMonitor(std::string node, const OwnerMonitorSettings &settings);

    void noteClaim(std::int64_t offset, const OwnerClaim &claim, Core::Instant now);
    /// Called for each record that the owner wrote, claims excepted.
    void noteOwnerWrite(Core::Instant now);
    /// Called when a read up to the end of the log has succeeded or failed.
    void noteRead(bool isAnswered, Core::Instant now);

    const std::optional<OwnerClaim> &claim() const { return m_claim; }
    /// Offset of the last claim in the log; -1 before the first one.
    std::int64_t claimOffset() const { return m_claimOffset; }
    bool isOwner() const;
    /// When a record of the owner was last read, or when reads resumed after a gap if that is
    /// later.
    Core::Instant lastOwnerWriteAt() const { return m_lastOwnerWriteAt; }
    /// When a record of the owner before the last claim was last read; on the node that has claimed
    /// the jobs. Such a record may follow the claim until the former owner is fenced off.
    Core::Instant formerOwnerSeenAt() const { return m_formerOwnerSeenAt; }
    /// For a node that doesn't act as the owner: returns when it should claim the jobs if the owner
    /// writes nothing before then. That is at once if the last claim is its own. Returns nothing
    /// while the log can't be read.
    std::optional<Core::Instant> claimAt() const;

private:
    Core::Duration claimJitter() const;
    /// How long the owner may be silent, counted from its newest record.
    Core::Duration ownerTimeout() const;
    /// Extra delay that lets better suited nodes claim first.
    Core::Duration suitabilityDelay() const;

    std::string m_node;
    OwnerMonitorSettings m_settings;
    std::optional<OwnerClaim> m_claim;
    std::int64_t m_claimOffset = -1;
    /// Records of the owner that are read before this instant are followed by a longer timeout.
    Core::Instant m_graceEndsAt = {};
    Core::Instant m_lastOwnerWriteAt = {};
    Core::Instant m_formerOwnerSeenAt = {};
    Core::Instant m_lastReadAt = {};
    bool m_isReadable = false;
};

} // namespace Jobs
