#pragma once

#include <LibCore/Identifier.h>
#include <LibCore/Resources.h>
#include <LibCore/Time.h>
#include <LibTask/TaskSpec.h>

#include <map>
#include <optional>
#include <vector>

namespace Placement {

/// A running batch attempt that could be evicted.
struct PreemptionVictim
{
    Task::AttemptId attempt;
    Core::TeamId team;
    Core::Resources size;
    /// The run time that an eviction discards: since the start or the newest checkpoint.
    Core::Duration lostProgress {};

    bool operator==(const PreemptionVictim &) const = default;
};

/// The evictions that free enough capacity on one worker for a task.
struct PreemptionPlan
{
    std::vector<PreemptionVictim> victims;
    /// The number of victims whose capacity is within their team's quota.
    int victimsWithinQuota = 0;
    Core::Duration lostProgress {};

    bool operator==(const PreemptionPlan &) const = default;

    /// True if this plan has fewer victims within quota or, with equally many, a lower cost. The
    /// cost is the lost progress plus, for each victim, the time to restore its checkpoint.
    bool isCheaperThan(const PreemptionPlan &other) const;
};

/// Chooses which batch attempts of one worker to evict: first those that run on borrowed capacity,
/// then those that lose the least progress for the capacity they free. It spares every attempt
/// whose eviction isn't needed.
class Preemptor
{
public:
    enum class Scope {
        /// Only attempts that run on capacity above their team's quota may be evicted.
        BorrowedCapacity,
        /// Every batch attempt may be evicted.
        AllBatch,
    };

    /// \p usedAboveQuota holds by how much each borrowing team exceeds its quota, never negative.
    Preemptor(Scope scope, std::map<Core::TeamId, Core::Resources> usedAboveQuota);

    /// Chooses the evictions after which \p need fits in \p available plus the capacity that they
    /// free; nothing if no evictions suffice. \p available may be negative.
    std::optional<PreemptionPlan> plan(const Core::Resources &need,
                                       const Core::Resources &available,
                                       std::vector<PreemptionVictim> victims) const;

private:
    struct Candidate
    {
        PreemptionVictim victim;
        /// True if the victim runs on capacity above its team's quota.
        bool isBorrowed = false;
    };

    std::vector<Candidate> orderedCandidates(const Core::Resources &shortfall,
                                             std::vector<PreemptionVictim> victims) const;

    Scope m_scope;
    std::map<Core::TeamId, Core::Resources> m_usedAboveQuota;
};

} // namespace Placement
