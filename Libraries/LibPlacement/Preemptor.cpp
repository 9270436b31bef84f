#include <LibPlacement/Preemptor.h>

#include <algorithm>
#include <utility>

namespace Placement {

namespace {

bool isAnyPositive(const Core::Resources &shortfall)
{
    return shortfall.milliCores > 0 || shortfall.mebibytes > 0 || shortfall.accelerators > 0;
}

bool reducesShortfall(const Core::Resources &size, const Core::Resources &shortfall)
{
    return (shortfall.milliCores > 0 && size.milliCores > 0)
        || (shortfall.mebibytes > 0 && size.mebibytes > 0)
        || (shortfall.accelerators > 0 && size.accelerators > 0);
}

/// The approximate time to restore a checkpoint.
constexpr Core::Duration restoreTime = std::chrono::seconds(20);

double coveredFraction(std::int64_t size, std::int64_t shortfall)
{
    if (shortfall <= 0)
        return 0.0;
    return std::min(1.0, static_cast<double>(size) / static_cast<double>(shortfall));
}

/// The cost of an eviction relative to what it covers: the fractions of the shortfall that the
/// victim covers are summed over the dimensions.
double relativeCost(const PreemptionVictim &victim, const Core::Resources &shortfall)
{
    const double covered = coveredFraction(victim.size.milliCores, shortfall.milliCores)
        + coveredFraction(victim.size.mebibytes, shortfall.mebibytes)
        + coveredFraction(victim.size.accelerators, shortfall.accelerators);
    // Prevents a division by zero for a victim that covers nothing.
    constexpr double minimumCovered = 1e-6;
    const auto cost = static_cast<double>((victim.lostProgress + restoreTime).count());
    return cost / std::max(minimumCovered, covered);
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

std::vector<Preemptor::Candidate>
Preemptor::orderedCandidates(const Core::Resources &shortfall,
                             std::vector<PreemptionVictim> victims) const
{
    const auto isCheaper
        = [&shortfall](const PreemptionVictim &left, const PreemptionVictim &right) {
              const double leftCost = relativeCost(left, shortfall);
              const double rightCost = relativeCost(right, shortfall);
              return leftCost != rightCost ? leftCost < rightCost : left.attempt < right.attempt;
          };
    std::sort(victims.begin(), victims.end(), isCheaper);
    auto above = m_usedAboveQuota;
    std::vector<Candidate> candidates;
    for (PreemptionVictim &victim : victims) {
        // Each victim on borrowed capacity reduces what its team counts as borrowing, so that the
        // team keeps its quota.
        const auto team = above.find(victim.team);
        const bool isBorrowed = team != above.end() && isAnyPositive(team->second);
        if (isBorrowed)
            team->second = team->second - victim.size;
        if (isBorrowed || m_scope == Scope::AllBatch)
            candidates.push_back({ std::move(victim), isBorrowed });
    }
    const auto isBorrowed = [](const Candidate &candidate) { return candidate.isBorrowed; };
    std::stable_partition(candidates.begin(), candidates.end(), isBorrowed);
    return candidates;
}

std::optional<PreemptionPlan> Preemptor::plan(const Core::Resources &need,
                                              const Core::Resources &available,
                                              std::vector<PreemptionVictim> victims) const
{
    Core::Resources shortfall = need - available;
    std::vector<Candidate> chosen;
    for (Candidate &candidate : orderedCandidates(shortfall, std::move(victims))) {
        if (!isAnyPositive(shortfall))
            break;
        if (!reducesShortfall(candidate.victim.size, shortfall))
            continue;
        shortfall = shortfall - candidate.victim.size;
        chosen.push_back(std::move(candidate));
    }
    if (isAnyPositive(shortfall))
        return std::nullopt;
    PreemptionPlan plan;
    // A later, larger victim may have made an earlier one unnecessary. The victims are reviewed in
    // the reverse order of their choice, so that the most expensive ones are spared first.
    for (auto candidate = chosen.rbegin(); candidate != chosen.rend(); ++candidate) {
        const Core::Resources shortfallWithoutVictim = shortfall + candidate->victim.size;
        if (!isAnyPositive(shortfallWithoutVictim)) {
            shortfall = shortfallWithoutVictim;
            continue;
        }
        plan.lostProgress += candidate->victim.lostProgress;
        plan.victimsWithinQuota += candidate->isBorrowed ? 0 : 1;
        plan.victims.push_back(std::move(candidate->victim));
    }
    return plan;
}

} // namespace Placement
