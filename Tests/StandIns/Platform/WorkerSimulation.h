#pragma once

#include "Platform/Attempt.h"
#include "Platform/Violations.h"
#include "Platform/VmList.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace StandIn {

enum class StartResult {
    /// The attempt runs, or has run before.
    Accepted,
    UnknownWorker,
    /// The epoch is lower than the highest one that the worker has seen.
    Fenced,
};

/// Simulates all workers and the attempts on them. The time is an argument. Executes every command,
/// and counts those that violate the platform's rules.
class WorkerSimulation
{
public:
    /// Starts on leaving workers and in domains out of service count as violations \p grace after
    /// the change. With \p isFencing workers refuse outdated epochs.
    WorkerSimulation(const VmList &vms, Core::Duration grace, bool isFencing);

    /// Advances all attempts to \p now.
    void advance(Core::Instant now);

    StartResult start(const std::string &worker, const Json::Value &command, Core::Instant now);
    /// The following functions return false if the worker is unknown. Unknown attempts are ignored.
    bool stop(const std::string &worker, const AttemptName &name, bool withCheckpoint);
    bool throttle(const std::string &worker, const AttemptName &name, int percent);
    bool renew(const std::string &worker, const std::vector<AttemptName> &names,
               Core::Instant leaseDeadline);
    void acknowledge(const std::string &worker, const std::vector<AttemptName> &names);
    Json::Value reports(const std::string &worker, Core::Instant now) const;

    /// From now on all attempts that start on \p worker fail immediately.
    void setFailing(const std::string &worker, bool isFailing);
    /// All attempts on \p worker take \p slowdown times as long.
    void setSlowdown(const std::string &worker, double slowdown);
    void setDomainOut(const std::string &failureDomain, bool isOut, Core::Instant now);

    /// Records which workers are leaving. Must be called after each change of the list of VMs.
    void noteVmChange(Core::Instant now);

    Violations &violations() { return m_violations; }
    /// Returns the counts of attempts by phase, the starts and the completed run time.
    Json::Value report() const;

private:
    Attempt *find(const std::string &worker, const AttemptName &name);
    void checkStart(const Attempt &attempt, const WorkerInfo &worker, Core::Instant now);
    void run(Attempt &attempt, Core::Duration elapsed, Core::Instant now);
    void end(Attempt &attempt, Phase phase, const std::string &detail);
    double slowdown(const std::string &worker) const;
    Core::Resources reserved(const std::string &worker) const;

    const VmList &m_vms;
    Core::Duration m_grace;
    bool m_isFencing;
    Core::Instant m_now;
    std::map<AttemptName, Attempt> m_attempts;
    /// Acknowledged attempts; a delayed copy of a start command must not run them again.
    std::set<AttemptName> m_acknowledged;
    std::set<std::string> m_finishedTasks;
    std::map<std::string, std::uint64_t> m_epochs;
    std::set<std::string> m_failingWorkers;
    std::map<std::string, double> m_slowdowns;
    std::map<std::string, Core::Instant> m_domainsOutSince;
    std::map<std::string, Core::Instant> m_leavingSince;
    Violations m_violations;
    std::map<std::string, std::int64_t> m_counts;
    Core::Duration m_workDone {};
};

} // namespace StandIn
