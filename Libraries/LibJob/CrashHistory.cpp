#include <LibJob/CrashHistory.h>

#include <algorithm>
#include <utility>

namespace Jobs {

CrashHistory::CrashHistory(std::vector<SuspectedCrash> crashes, std::set<std::int64_t> lostRuns,
                           std::optional<RunInDoubt> runInDoubt)
    : m_crashes(std::move(crashes))
    , m_lostRuns(std::move(lostRuns))
    , m_runInDoubt(std::move(runInDoubt))
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
        || m_lostRuns.size() >= maxLostRuns;
}

CrashHistory CrashHistory::withRunInDoubt(const RunInDoubt &run) const
{
    return { m_crashes, m_lostRuns, run };
}

CrashHistory CrashHistory::withoutRunInDoubt() const
{
    return { m_crashes, m_lostRuns, std::nullopt };
}

CrashHistory CrashHistory::withCrash(const SuspectedCrash &crash) const
{
    const bool settlesDoubt = m_runInDoubt && m_runInDoubt->run == crash.run;
    const std::optional<RunInDoubt> runInDoubt = settlesDoubt ? std::nullopt : m_runInDoubt;
    std::vector<SuspectedCrash> crashes = m_crashes;
    const auto known
        = std::find_if(crashes.begin(), crashes.end(),
                       [&crash](const SuspectedCrash &other) { return other.run == crash.run; });
    if (known == crashes.end())
        crashes.push_back(crash);
    else
        known->wasOnlySuspect |= crash.wasOnlySuspect;
    return { crashes, m_lostRuns, runInDoubt };
}

CrashHistory CrashHistory::withLostRun(std::int64_t run) const
{
    std::set<std::int64_t> lostRuns = m_lostRuns;
    lostRuns.insert(run);
    return { m_crashes, std::move(lostRuns), m_runInDoubt };
}

CrashHistory CrashHistory::mergedWith(const CrashHistory &other) const
{
    std::set<std::int64_t> lostRuns = m_lostRuns;
    lostRuns.insert(other.m_lostRuns.begin(), other.m_lostRuns.end());
    CrashHistory merged(m_crashes, std::move(lostRuns), std::nullopt);
    for (const SuspectedCrash &crash : other.m_crashes)
        merged = merged.withCrash(crash);
    const std::optional<RunInDoubt> &runInDoubt = m_runInDoubt ? m_runInDoubt : other.m_runInDoubt;
    return { merged.m_crashes, merged.m_lostRuns, runInDoubt };
}

} // namespace Jobs
