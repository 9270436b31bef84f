#pragma once

#include <LibCore/Time.h>
#include <LibSite/LatencyEstimate.h>

#include <optional>
#include <string>

namespace Site {

/// Decides whether a node appends its callers' records to the store itself or forwards them to the
/// owner of the jobs. Instants are on the steady clock.
class WriteRoute
{
public:
    enum class Path {
        Direct,
        /// A direct append that tells whether the store can be reached again. It must leave time
        /// for forwarding the records afterwards.
        Probe,
        Forward,
    };
    struct Choice
    {
        Path path = Path::Direct;
        /// The append isn't sent before this.
        Core::Instant notBefore = {};

        bool operator==(const Choice &) const = default;
    };

    /// \p owner identifies the owner to which records can be forwarded; empty if there is none.
    Choice choose(const std::string &owner, Core::Instant now) const;

    void noteProbe(Core::Instant now);
    void noteDirect(Core::Duration latency, Core::Instant now);
    /// A direct append was refused or wasn't answered.
    void noteDirectFailure(Core::Duration waited, Core::Instant now);
    /// The store can't be reached, according to other calls.
    void noteStoreLost();
    /// The owner has answered. \p latency is that of its appends.
    void noteOwnerAnswer(Core::Duration latency, Core::Instant now);
    void noteOwnerUnreachable(const std::string &owner, Core::Instant now);

    /// False while records are forwarded if that is possible.
    bool isDirect() const { return !m_isSlow; }
    /// True if the node's own appends have failed and none has succeeded since.
    bool hasFailed() const { return m_needsProbe; }
    bool isOwnerReachable(const std::string &owner, Core::Instant now) const;
    /// The latency of this node's appends, or of the owner's if records are forwarded, or will be
    /// once a probe has failed. The measurement may be old.
    LatencyEstimate estimate(Path path) const;

private:
    /// The last direct append took too long, failed or wasn't answered.
    bool m_isSlow = false;
    bool m_needsProbe = false;
    LatencyEstimate m_directEstimate;
    std::optional<LatencyEstimate> m_ownerEstimate;
    std::string m_unreachableOwner;
    Core::Instant m_unreachableUntil = {};
    Core::Instant m_nextProbeAt = {};
};

} // namespace Site
