#include <LibPlacement/QuotaLedger.h>

#include <algorithm>

namespace Placement {

namespace {

Core::Resources dividedRoundingUp(const Core::Resources &resources, int divisor)
{
    // Rounds up, so that a quota of one accelerator doesn't become zero in every failure domain.
    const auto divide = [divisor](std::int64_t amount) { return (amount + divisor - 1) / divisor; };
    return { divide(resources.milliCores), divide(resources.mebibytes),
             divide(resources.accelerators) };
}

Core::Resources positivePart(const Core::Resources &resources)
{
    return { std::max<std::int64_t>(0, resources.milliCores),
             std::max<std::int64_t>(0, resources.mebibytes),
             std::max<std::int64_t>(0, resources.accelerators) };
}

} // namespace

void QuotaLedger::setRules(const Rules::RuleSet &rules, int failureDomains)
{
    for (auto &[team, state] : m_teams) {
        state.quota = {};
        state.weight = 1;
    }
    for (const auto &[team, rule] : rules.teams) {
        TeamState &state = m_teams[team];
        state.quota = dividedRoundingUp(rule.quota, std::max(1, failureDomains));
        state.weight = std::max(1, rule.weight);
    }
}

void QuotaLedger::add(const Core::TeamId &team, Rules::TaskKind kind, const Core::Resources &size)
{
    TeamState &state = m_teams[team];
    state.used = state.used + size;
    if (kind == Rules::TaskKind::LatencyCritical)
        state.usedByLatencyCritical = state.usedByLatencyCritical + size;
}

void QuotaLedger::remove(const Core::TeamId &team, Rules::TaskKind kind,
                         const Core::Resources &size)
{
    TeamState &state = m_teams[team];
    state.used = state.used - size;
    if (kind == Rules::TaskKind::LatencyCritical)
        state.usedByLatencyCritical = state.usedByLatencyCritical - size;
}

Core::Resources QuotaLedger::used(const Core::TeamId &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? Core::Resources {} : found->second.used;
}

Core::Resources QuotaLedger::quota(const Core::TeamId &team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? Core::Resources {} : found->second.quota;
}

bool QuotaLedger::wouldBorrow(const Core::TeamId &team, Rules::TaskKind kind,
                              const Core::Resources &size) const
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end())
        return true;
    const TeamState &state = found->second;
    const bool isLatencyCritical = kind == Rules::TaskKind::LatencyCritical;
    const Core::Resources &used = isLatencyCritical ? state.usedByLatencyCritical : state.used;
    return !(used + size).fitsIn(state.quota);
}

std::map<Core::TeamId, Core::Resources> QuotaLedger::usedAboveQuota() const
{
    std::map<Core::TeamId, Core::Resources> above;
    for (const auto &[team, state] : m_teams) {
        if (!state.used.fitsIn(state.quota))
            above.emplace(team, positivePart(state.used - state.quota));
    }
    return above;
}

double QuotaLedger::weightedDominantShare(const Core::TeamId &team) const
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end())
        return 0.0;
    const TeamState &state = found->second;
    return Core::dominantShare(state.used, m_capacity) / state.weight;
}

} // namespace Placement
