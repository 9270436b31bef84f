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
    /// It runs, or did so before.
    Accepted,
    UnknownWorker,
    /// The epoch is lower than one that the worker has seen.
    Fenced,
};

/// All workers and what runs on them. Time is an argument. It carries out whatever it is told
/// and counts what it should never have been told.
class WorkerSimulation
{
public:
    /// Starts on leaving workers and in domains out of service count as violations \p grace after
    /// the change. With \p isFencing workers refuse outdated epochs.
    WorkerSimulation(const VmList &vms, Core::Duration grace, bool isFencing);

    /// Lets everything run up to \p now.
    void advance(Core::Instant now);

    StartResult start(const std::string &worker, const Json::Value &command, Core::Instant now);
    /// The following return false if the worker isn't known. Unknown attempts are ignored.
    bool stop(const std::string &worker, const AttemptName &name, bool withCheckpoint);
    bool throttle(const std::string &worker, const AttemptName &name, int percent);
    bool renew(const std::string &worker, const std::vector<AttemptName> &names,
               Core::Instant leaseDeadline);
    void acknowledge(const std::string &worker, const std::vector<AttemptName> &names);
    Json::Value reports(const std::string &worker, Core::Instant now) const;

    /// Everything that starts on \p worker fails at once from now on.
    void setFailing(const std::string &worker, bool isFailing);
    /// Everything on \p worker takes \p slowdown times as long.
    void setSlowdown(const std::string &worker, double slowdown);
    void setDomainOut(const std::string &failureDomain, bool isOut, Core::Instant now);

    /// Notes which workers are leaving. To be called after each change of the list of VMs.
    void noteVmChange(Core::Instant now);

    Violations &violations() { return m_violations; }
    /// Counts of attempts by phase, starts and run time that was done.
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
    /// Attempts that were acknowledged; a late copy of their start mustn't run them again.
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
