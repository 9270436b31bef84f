#include <LibPlacement/Preemptor.h>

#include <algorithm>
#include <utility>

namespace Placement {

namespace {

bool isLacking(const Core::Resources &missing)
{
    return missing.milliCores > 0 || missing.mebibytes > 0 || missing.accelerators > 0;
}

bool helps(const Core::Resources &size, const Core::Resources &missing)
{
    return (missing.milliCores > 0 && size.milliCores > 0)
        || (missing.mebibytes > 0 && size.mebibytes > 0)
        || (missing.accelerators > 0 && size.accelerators > 0);
}

/// What restoring a checkpoint takes, about.
constexpr Core::Duration restoreTime = std::chrono::seconds(20);

double partCovered(std::int64_t size, std::int64_t missing)
{
    if (missing <= 0)
        return 0.0;
    return std::min(1.0, static_cast<double>(size) / static_cast<double>(missing));
}

/// The cost of an eviction for each part of the missing room that it covers.
double relativeCost(const PreemptionVictim &victim, const Core::Resources &missing)
{
    const double covered = partCovered(victim.size.milliCores, missing.milliCores)
        + partCovered(victim.size.mebibytes, missing.mebibytes)
        + partCovered(victim.size.accelerators, missing.accelerators);
    constexpr double leastPart = 1e-6;
    const auto cost = static_cast<double>((victim.lostProgress + restoreTime).count());
    return cost / std::max(leastPart, covered);
}

Core::Duration totalCost(const PreemptionPlan &plan)
{
    return plan.lostProgress + restoreTime * static_cast<std::int64_t>(plan.victims.size());
}

} // namespace

bool PreemptionPlan::isCheaperThan(const PreemptionPlan &other) const
{
    if (victimsWithinQuota != other.victimsWithinQuota)
        return victimsWithinQuota < other.victimsWithinQuota;
    return totalCost(*this) < totalCost(other);
}

Preemptor::Preemptor(Scope scope, std::map<Core::TeamId, Core::Resources> usedAboveQuota)
    : m_scope(scope)
    , m_usedAboveQuota(std::move(usedAboveQuota))
{
}

std::vector<Preemptor::Choice>
Preemptor::orderedChoices(const Core::Resources &missing,
                          std::vector<PreemptionVictim> victims) const
{
    const auto isCheaper = [&missing](const PreemptionVictim &left, const PreemptionVictim &right) {
        const double leftCost = relativeCost(left, missing);
        const double rightCost = relativeCost(right, missing);
        return leftCost != rightCost ? leftCost < rightCost : left.attempt < right.attempt;
    };
    std::sort(victims.begin(), victims.end(), isCheaper);
    auto above = m_usedAboveQuota;
    std::vector<Choice> choices;
    for (PreemptionVictim &victim : victims) {
        // Each borrowed victim lowers what its team has borrowed, so that the team keeps its quota.
        const auto team = above.find(victim.team);
        const bool isBorrowed = team != above.end() && isLacking(team->second);
        if (isBorrowed)
            team->second = team->second - victim.size;
        if (isBorrowed || m_scope == Scope::AllBatch)
            choices.push_back({ std::move(victim), isBorrowed });
    }
    const auto isBorrowed = [](const Choice &choice) { return choice.isBorrowed; };
    std::stable_partition(choices.begin(), choices.end(), isBorrowed);
    return choices;
}

std::optional<PreemptionPlan> Preemptor::plan(const Core::Resources &need,
                                              const Core::Resources &room,
                                              std::vector<PreemptionVictim> victims) const
{
    Core::Resources missing = need - room;
    std::vector<Choice> chosen;
    for (Choice &choice : orderedChoices(missing, std::move(victims))) {
        if (!isLacking(missing))
            break;
        if (!helps(choice.victim.size, missing))
            continue;
        missing = missing - choice.victim.size;
        chosen.push_back(std::move(choice));
    }
    if (isLacking(missing))
        return std::nullopt;
    PreemptionPlan plan;
    // A later, larger victim may have made an earlier one needless; the dearest is spared first.
    for (auto choice = chosen.rbegin(); choice != chosen.rend(); ++choice) {
        const Core::Resources withoutIt = missing + choice->victim.size;
        if (!isLacking(withoutIt)) {
            missing = withoutIt;
            continue;
        }
        plan.lostProgress += choice->victim.lostProgress;
        plan.victimsWithinQuota += choice->isBorrowed ? 0 : 1;
        plan.victims.push_back(std::move(choice->victim));
    }
    return plan;
}

} // namespace Placement
