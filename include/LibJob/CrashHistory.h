#pragma once

#include <LibCore/Identifier.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Jobs {

/// A worker that crashed under a run that may have caused it.
struct SuspectedCrash
{
    Core::VmId worker;
    std::int64_t run = 0;
    /// No other run on the worker could have caused the crash, and no other worker failed at the
    /// same time.
    bool wasOnlySuspect = false;

    bool operator==(const SuspectedCrash &) const = default;
};

/// A run whose worker may have crashed, or may crash soon, because of it. Names the worker's
/// incarnation, so that the next owner can find out as well whether it has crashed.
struct RunInDoubt
{
    std::int64_t run = 0;
    Core::VmId worker;
    /// IP address and port of the worker.
    std::string address;
    /// When the worker's process started, in Unix milliseconds; 0 if unknown.
    std::int64_t processStartUnixMs = 0;
    bool isOnlySuspect = false;

    bool operator==(const RunInDoubt &) const = default;
};

/// The crashes of workers under one task. Part of the job's durable progress, so that the bound on
/// crashes holds over all owners. Immutable.
///
/// A task that crashes its workers never gets far: no report shows its run a moment after its
/// start. Only such runs are suspects of a crash; a run that was at work has only been lost with
/// its worker. A task without a crash that it was suspected of, and without a run in doubt, is no
/// suspect.
class CrashHistory
{
public:
    /// The task is given up after this many crashes of which it was the only suspect,
    static constexpr int maxCrashesAsOnlySuspect = 2;
    /// or after this many of which it was one suspect,
    static constexpr std::size_t maxCrashes = 3;
    /// or after this many successive runs that were lost in crashes, whatever the cause, if none
    /// had been at work for long. Bounds the crashes by tasks that crash their workers after a
    /// while.
    static constexpr std::size_t maxLostRuns = 5;
    /// or after this many, excused ones included: bounds the crashes by tasks that crash their
    /// workers after a while, and always while others crash too.
    static constexpr std::size_t maxLostRunsWithExcused = 10;

    CrashHistory() = default;
    CrashHistory(std::vector<SuspectedCrash> crashes, std::set<std::int64_t> lostRuns,
                 std::optional<RunInDoubt> runInDoubt, std::set<std::int64_t> excusedRuns = {});

    /// In the order in which they became known.
    const std::vector<SuspectedCrash> &crashes() const { return m_crashes; }
    /// The successive runs that were lost in crashes of their workers; includes those of crashes().
    const std::set<std::int64_t> &lostRuns() const { return m_lostRuns; }
    const std::optional<RunInDoubt> &runInDoubt() const { return m_runInDoubt; }
    /// The successive runs that had survived their start and were lost in crashes with another
    /// cause: one beyond their worker, or a suspect that ran there in isolation.
    const std::set<std::int64_t> &excusedRuns() const { return m_excusedRuns; }

    bool isEmpty() const { return *this == CrashHistory(); }
    /// True if the task must be isolated from other possible causes of a crash when it runs next.
    bool isSuspect() const { return !m_crashes.empty() || m_runInDoubt; }
    bool isToBeGivenUp() const;

    CrashHistory withRunInDoubt(const RunInDoubt &run) const;
    CrashHistory withoutRunInDoubt() const;
    /// The crash settles the doubt about the run, if there is one. A run counts once.
    CrashHistory withCrash(const SuspectedCrash &crash) const;
    CrashHistory withLostRun(std::int64_t run) const;
    CrashHistory withExcusedRun(std::int64_t run) const;
    /// The history of a gang: that of all its members, whose runs start together and count once.
    CrashHistory mergedWith(const CrashHistory &other) const;

    bool operator==(const CrashHistory &) const = default;

private:
    std::vector<SuspectedCrash> m_crashes;
    std::set<std::int64_t> m_lostRuns;
    std::optional<RunInDoubt> m_runInDoubt;
    std::set<std::int64_t> m_excusedRuns;
};

} // namespace Jobs
