#pragma once

#include <LibJob/Commands.h>
#include <LibJob/WorkerInfo.h>
#include <LibJob/WorkerReport.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// Simulates a worker in virtual time according to the platform's rules: it rejects lower tokens,
/// old runs and late starts, and kills all tasks when its lease expires.
class SimulatedWorker
{
public:
    SimulatedWorker(Jobs::WorkerInfo info, double clockRate);

    const Jobs::WorkerInfo &info() const { return m_info; }
    bool isUp() const { return m_isUp; }
    std::int64_t clockMs(std::int64_t nowMs) const;

    struct Run
    {
        std::int64_t number = 0;
        std::int64_t startedAtMs = 0;
        std::int64_t endsAtMs = 0;
        Jobs::EndKind endKind = Jobs::EndKind::Done;
        /// The run makes no progress and doesn't end by itself.
        bool hangs = false;

        bool operator==(const Run &) const = default;
    };
    const std::map<Jobs::TaskName, Run> &running() const { return m_running; }

    /// \p work determines how long the run takes and how it ends.
    Jobs::StartOutcome start(const Jobs::StartCommand &command, const Run &work,
                             std::int64_t nowMs);
    /// Returns false if the token is rejected.
    bool stop(const Jobs::StopCommand &command, std::int64_t nowMs);
    /// Returns nothing if the token is rejected.
    std::optional<Jobs::WorkerReport> renew(const Jobs::RenewCommand &command, std::int64_t nowMs);

    /// Ends the runs that are due, and returns the ends since the last call.
    std::vector<Jobs::EndedEntry> advance(std::int64_t nowMs);
    /// Returns the ends that were acknowledged since the last call, except those after which the
    /// worker's lease expired before the acknowledgement.
    std::vector<Jobs::EndedEntry> takeAcknowledged();
    /// Returns the tasks whose runs have ended although no report has listed the ends.
    std::vector<Jobs::TaskName> unreportedEnds() const;
    void crash();
    void restart(std::int64_t nowMs, std::int64_t startUnixMs);
    /// Sets the processors that the worker publishes for tasks.
    void setCapacity(std::int64_t milliCores) { m_info.capacity.milliCores = milliCores; }
    void setId(const Core::VmId &id) { m_info.id = id; }
    void setDraining() { m_info.isDraining = true; }

    /// Disables the fencing, to show that the tests detect its absence.
    bool ignoresTokens = false;
    /// Time from a stop command to the end of the run.
    std::int64_t stopTakesMs = 0;
    /// The longest lease that the worker grants.
    std::int64_t maxLeaseMs = 6000;

private:
    bool acceptToken(Jobs::FencingToken token);
    void end(const Jobs::TaskName &task, Jobs::EndKind kind);

    Jobs::WorkerInfo m_info;
    double m_clockRate;
    std::int64_t m_bootMs = 0;
    bool m_isUp = true;
    Jobs::FencingToken m_token = 0;
    std::int64_t m_leaseEndMs = 0;
    std::int64_t m_ends = 0;
    /// Number of the last end that a report has listed.
    std::int64_t m_reportedEnd = 0;
    std::map<Jobs::TaskName, Run> m_running;
    /// Highest run number of each task that has ended or was named by a stop command; runs up to it
    /// aren't started.
    std::map<Jobs::TaskName, std::int64_t> m_highestEndedRun;
    struct ListedEnd
    {
        Jobs::EndedEntry entry;
        /// Value of m_expiries when the run ended.
        int expiriesBefore = 0;
    };
    std::vector<ListedEnd> m_ended;
    std::vector<Jobs::EndedEntry> m_newEnds;
    std::vector<Jobs::EndedEntry> m_acknowledged;
    /// How often the worker's lease has expired.
    int m_expiries = 0;
    bool m_isExpired = true;
};
