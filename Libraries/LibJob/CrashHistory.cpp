#include <LibJob/CrashHistory.h>

#include <algorithm>
#include <utility>

namespace Jobs {

CrashHistory::CrashHistory(std::vector<SuspectedCrash> crashes, std::set<std::int64_t> lostRuns,
                           std::optional<RunInDoubt> runInDoubt, std::set<std::int64_t> excusedRuns)
    : m_crashes(std::move(crashes))
    , m_lostRuns(std::move(lostRuns))
    , m_runInDoubt(std::move(runInDoubt))
    , m_excusedRuns(std::move(excusedRuns))
{
    for (const SuspectedCrash &crash : m_crashes)
        m_lostRuns.insert(crash.run);
}

bool CrashHistory::isToBeGivenUp() const
{
    const auto asOnlySuspect
        = std::count_if(m_crashes.begin(), m_crashes.end(),
                        [](const SuspectedCrash &crash) { return crash.wasOnlySuspect; });
    return asOnlySuspect >= maxCrashesAsOnlySuspect || m_crashes.size() >= maxCrashes
        || m_lostRuns.size() >= maxLostRuns
        || m_lostRuns.size() + m_excusedRuns.size() >= maxLostRunsWithExcused;
}

CrashHistory CrashHistory::withRunInDoubt(const RunInDoubt &run) const
{
    CrashHistory history = *this;
    history.m_runInDoubt = run;
    return history;
}

CrashHistory CrashHistory::withoutRunInDoubt() const
{
    CrashHistory history = *this;
    history.m_runInDoubt.reset();
    return history;
}

CrashHistory CrashHistory::withCrash(const SuspectedCrash &crash) const
{
    CrashHistory history = withLostRun(crash.run);
    if (m_runInDoubt && m_runInDoubt->run == crash.run)
        history.m_runInDoubt.reset();
    std::vector<SuspectedCrash> &crashes = history.m_crashes;
    const auto known
        = std::find_if(crashes.begin(), crashes.end(),
                       [&crash](const SuspectedCrash &other) { return other.run == crash.run; });
    if (known == crashes.end())
        crashes.push_back(crash);
    else
        known->wasOnlySuspect |= crash.wasOnlySuspect;
    return history;
}

CrashHistory CrashHistory::withLostRun(std::int64_t run) const
{
    CrashHistory history = *this;
    history.m_lostRuns.insert(run);
    history.m_excusedRuns.erase(run);
    return history;
}

CrashHistory CrashHistory::withExcusedRun(std::int64_t run) const
{
    CrashHistory history = *this;
    if (!m_lostRuns.contains(run))
        history.m_excusedRuns.insert(run);
    return history;
}

CrashHistory CrashHistory::mergedWith(const CrashHistory &other) const
{
    CrashHistory merged = *this;
    for (const std::int64_t run : other.m_lostRuns)
        merged = merged.withLostRun(run);
    for (const std::int64_t run : other.m_excusedRuns)
        merged = merged.withExcusedRun(run);
    for (const SuspectedCrash &crash : other.m_crashes)
        merged = merged.withCrash(crash);
    merged.m_runInDoubt = m_runInDoubt ? m_runInDoubt : other.m_runInDoubt;
    return merged;
}

} // namespace Jobs
