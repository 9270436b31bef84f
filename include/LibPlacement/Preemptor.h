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
    /// What an eviction throws away: the run time since the start or the newest checkpoint.
    Core::Duration lostProgress {};

    bool operator==(const PreemptionVictim &) const = default;
};

/// The evictions that make room on one worker.
struct PreemptionPlan
{
    std::vector<PreemptionVictim> victims;
    /// How many of them run on room that isn't borrowed.
    int victimsWithinQuota = 0;
    Core::Duration lostProgress {};

    bool operator==(const PreemptionPlan &) const = default;

    /// True if it takes less room within quotas or, that being equal, costs less progress. Every
    /// eviction also costs the time to restore the checkpoint.
    bool isCheaperThan(const PreemptionPlan &other) const;
};

/// Chooses which batch attempts of one worker give way: those on borrowed room first, then those
/// that lose the least progress for what they free, and none that isn't needed.
class Preemptor
{
public:
    enum class Scope {
        /// Only borrowed room may be taken back.
        BorrowedRoom,
        AllBatch,
    };

    /// \p usedAboveQuota says by how much each borrowing team exceeds its quota, never negative.
    Preemptor(Scope scope, std::map<Core::TeamId, Core::Resources> usedAboveQuota);

    /// The evictions after which \p need fits in \p room plus what they free; nothing if there are
    /// none that suffice. \p room may be negative.
    std::optional<PreemptionPlan> plan(const Core::Resources &need, const Core::Resources &room,
                                       std::vector<PreemptionVictim> victims) const;

private:
    struct Choice
    {
        PreemptionVictim victim;
        bool isBorrowed = false;
    };

    std::vector<Choice> orderedChoices(const Core::Resources &missing,
                                       std::vector<PreemptionVictim> victims) const;

    Scope m_scope;
    std::map<Core::TeamId, Core::Resources> m_usedAboveQuota;
};

} // namespace Placement
