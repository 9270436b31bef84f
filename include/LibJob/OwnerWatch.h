#pragma once

#include <LibCore/Time.h>
#include <LibJob/JobRecord.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace Jobs {

struct OwnerWatchSettings
{
    /// An owner that hasn't written for this long is taken for dead.
    Core::Duration longestSilence = std::chrono::milliseconds(1600);
    /// Nodes wait up to this long for one another, so that few claim at once.
    Core::Duration claimSpread = std::chrono::milliseconds(300);
    /// What this node's own link carries. An owner's carries every worker's reports: a node with
    /// less leaves the claim to the others for a while.
    double linkMegabitsPerSecond = std::numeric_limits<double>::infinity();

    auto operator<=>(const OwnerWatchSettings &) const = default;
};

/// Decides from the records in the store whether this node should claim the site's jobs.
///
/// Silence counts only while this node can read: an owner that can't write because the store is
/// down for all is not taken for dead.
class OwnerWatch
{
public:
    OwnerWatch(std::string node, const OwnerWatchSettings &settings);

    void noteClaim(std::int64_t offset, const OwnerClaim &claim, Core::Instant now);
    /// The owner wrote something.
    void noteSign(Core::Instant now);
    /// A read that reached the end of the log was answered, or failed.
    void noteRead(bool isAnswered, Core::Instant now);

    const std::optional<OwnerClaim> &claim() const { return m_claim; }
    std::int64_t claimOffset() const { return m_claimOffset; }
    bool isOwner() const;
    Core::Instant lastSignAt() const { return m_lastSignAt; }
    /// When a node that doesn't act as the owner should claim if nothing is heard until then;
    /// nothing while the log can't be read.
    std::optional<Core::Instant> claimAt() const;

private:
    Core::Duration spread() const;
    /// How long better suited nodes are left to claim first.
    Core::Duration deference() const;

    std::string m_node;
    OwnerWatchSettings m_settings;
    std::optional<OwnerClaim> m_claim;
    std::int64_t m_claimOffset = -1;
    Core::Instant m_lastSignAt = {};
    Core::Instant m_lastReadAt = {};
    bool m_isReadable = false;
};

} // namespace Jobs
