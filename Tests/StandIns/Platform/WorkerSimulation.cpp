#include "Platform/WorkerSimulation.h"

#include <LibCore/Json.h>

#include <algorithm>

namespace StandIn {

/// Progress between two checkpoints that a task writes on its own.
static constexpr Core::Duration checkpointInterval = std::chrono::seconds(1);

WorkerSimulation::WorkerSimulation(const VmList &vms, Core::Duration grace, bool isFencing)
    : m_vms(vms)
    , m_grace(grace)
    , m_isFencing(isFencing)
{
}

void WorkerSimulation::advance(Core::Instant now)
{
    const Core::Duration elapsed = std::max(now - m_now, Core::Duration());
    std::erase_if(m_attempts, [this](const auto &entry) {
        // The attempts on a removed VM are lost.
        return !m_vms.worker(entry.second.worker);
    });
    for (auto &[name, attempt] : m_attempts) {
        if (attempt.phase == Phase::Running)
            run(attempt, std::min(elapsed, now - attempt.startedAt), now);
    }
    m_now = std::max(m_now, now);
}

void WorkerSimulation::run(Attempt &attempt, Core::Duration elapsed, Core::Instant now)
{
    const Core::Duration beyondLease = std::max(now - attempt.leaseDeadline, Core::Duration());
    const Core::Duration running = std::max(elapsed - beyondLease, Core::Duration());
    const double speed = attempt.throttlePercent / 100.0 / slowdown(attempt.worker);
    const Core::Duration before = attempt.progress;
    attempt.progress += std::chrono::duration_cast<Core::Duration>(running * speed);
    const bool isComplete = attempt.runTime.count() > 0 && attempt.progress >= attempt.runTime;
    if (isComplete)
        attempt.progress = std::max(before, attempt.runTime);
    m_workDone += attempt.progress - before;
    const Core::Duration whole = attempt.progress / checkpointInterval * checkpointInterval;
    attempt.checkpointed = std::max(attempt.checkpointed, whole);
    if (isComplete && attempt.isFailing)
        end(attempt, Phase::Failed, "the payload says so");
    else if (isComplete)
        end(attempt, Phase::Finished, {});
    else if (beyondLease.count() > 0)
        end(attempt, Phase::Stopped, "the lease lapsed");
}

void WorkerSimulation::end(Attempt &attempt, Phase phase, const std::string &detail)
{
    attempt.phase = phase;
    attempt.detail = detail;
    if (phase == Phase::Finished)
        ++m_counts["finished"];
    if (phase == Phase::Failed)
        ++m_counts["failed"];
    if (phase == Phase::Stopped)
        ++m_counts["stopped"];
    if (phase == Phase::Finished && !m_finishedTasks.insert(attempt.name.first).second)
        m_violations.add("finishedTwice", attempt.name.first);
}

StartResult WorkerSimulation::start(const std::string &worker, const Json::Value &command,
                                    Core::Instant now)
{
    const std::optional<WorkerInfo> info = m_vms.worker(worker);
    if (!info)
        return StartResult::UnknownWorker;
    Attempt attempt = Attempt::fromJson(worker, command, now);
    const auto epoch = static_cast<std::uint64_t>(Core::Json::integerMember(command, "epoch"));
    std::uint64_t &highest = m_epochs[worker];
    if (m_isFencing && epoch < highest)
        return StartResult::Fenced;
    highest = std::max(highest, epoch);
    if (m_attempts.contains(attempt.name) || m_acknowledged.contains(attempt.name))
        return StartResult::Accepted;
    checkStart(attempt, *info, now);
    ++m_counts["started"];
    const AttemptName name = attempt.name;
    Attempt &started = m_attempts.emplace(name, std::move(attempt)).first->second;
    if (m_failingWorkers.contains(worker))
        end(started, Phase::Failed, "the worker fails everything");
    return StartResult::Accepted;
}

void WorkerSimulation::checkStart(const Attempt &attempt, const WorkerInfo &worker,
                                  Core::Instant now)
{
    const std::string what = attempt.name.first + " attempt " + std::to_string(attempt.name.second)
        + " on " + attempt.worker;
    if (!(reserved(attempt.worker) + attempt.declared).fitsIn(worker.capacity))
        m_violations.add("capacity", what);
    for (const auto &[name, other] : m_attempts) {
        if (name.first == attempt.name.first && other.phase == Phase::Running)
            m_violations.add("doubleRun", what + ", also on " + other.worker);
    }
    if (m_finishedTasks.contains(attempt.name.first))
        m_violations.add("startAfterFinish", what);
    const auto out = m_domainsOutSince.find(worker.failureDomain);
    if (out != m_domainsOutSince.end() && now > out->second + m_grace)
        m_violations.add("startInDomainOut", what);
    const auto leaving = m_leavingSince.find(attempt.worker);
    if (leaving != m_leavingSince.end() && now > leaving->second + m_grace)
        m_violations.add("startOnLeaving", what);
}

Core::Resources WorkerSimulation::reserved(const std::string &worker) const
{
    Core::Resources sum;
    for (const auto &[name, attempt] : m_attempts) {
        if (attempt.worker == worker && attempt.phase == Phase::Running)
            sum = sum + attempt.declared;
    }
    return sum;
}

/// The maximum of the configured slowdown and the ratio of the actual use to the processors.
double WorkerSimulation::slowdown(const std::string &worker) const
{
    const auto set = m_slowdowns.find(worker);
    const double floor = set == m_slowdowns.end() ? 1.0 : set->second;
    const std::optional<WorkerInfo> info = m_vms.worker(worker);
    if (!info || info->capacity.milliCores <= 0)
        return floor;
    double used = 0;
    for (const auto &[name, attempt] : m_attempts) {
        if (attempt.worker == worker && attempt.phase == Phase::Running)
            used += static_cast<double>(attempt.used.milliCores) * attempt.throttlePercent / 100.0;
    }
    return std::max(floor, used / static_cast<double>(info->capacity.milliCores));
}

Attempt *WorkerSimulation::find(const std::string &worker, const AttemptName &name)
{
    const auto found = m_attempts.find(name);
    if (found == m_attempts.end() || found->second.worker != worker)
        return nullptr;
    return &found->second;
}

bool WorkerSimulation::stop(const std::string &worker, const AttemptName &name, bool withCheckpoint)
{
    if (!m_vms.worker(worker))
        return false;
    Attempt *attempt = find(worker, name);
    if (!attempt || attempt->phase != Phase::Running)
        return true;
    if (withCheckpoint)
        attempt->checkpointed = attempt->progress;
    end(*attempt, Phase::Stopped, "stopped on command");
    return true;
}

bool WorkerSimulation::throttle(const std::string &worker, const AttemptName &name, int percent)
{
    if (!m_vms.worker(worker))
        return false;
    if (Attempt *attempt = find(worker, name))
        attempt->throttlePercent = std::clamp(percent, 0, 100);
    return true;
}

bool WorkerSimulation::renew(const std::string &worker, const std::vector<AttemptName> &names,
                             Core::Instant leaseDeadline)
{
    if (!m_vms.worker(worker))
        return false;
    for (const AttemptName &name : names) {
        Attempt *attempt = find(worker, name);
        // A delayed renewal must not shorten the lease of a newer one.
        if (attempt && attempt->phase == Phase::Running)
            attempt->leaseDeadline = std::max(attempt->leaseDeadline, leaseDeadline);
    }
    return true;
}

void WorkerSimulation::acknowledge(const std::string &worker, const std::vector<AttemptName> &names)
{
    for (const AttemptName &name : names) {
        const Attempt *attempt = find(worker, name);
        if (!attempt || attempt->phase == Phase::Running)
            continue;
        m_acknowledged.insert(name);
        m_attempts.erase(name);
    }
}

Json::Value WorkerSimulation::reports(const std::string &worker, Core::Instant now) const
{
    Json::Value value;
    value["reports"] = Json::Value(Json::arrayValue);
    const double slowed = slowdown(worker);
    for (const auto &[name, attempt] : m_attempts) {
        if (attempt.worker == worker)
            value["reports"].append(attempt.report(slowed, now));
    }
    return value;
}

void WorkerSimulation::setFailing(const std::string &worker, bool isFailing)
{
    if (isFailing)
        m_failingWorkers.insert(worker);
    else
        m_failingWorkers.erase(worker);
}

void WorkerSimulation::setSlowdown(const std::string &worker, double slowdown)
{
    m_slowdowns[worker] = std::max(slowdown, 1.0);
}

void WorkerSimulation::setDomainOut(const std::string &failureDomain, bool isOut, Core::Instant now)
{
    if (isOut)
        m_domainsOutSince.emplace(failureDomain, now);
    else
        m_domainsOutSince.erase(failureDomain);
}

void WorkerSimulation::noteVmChange(Core::Instant now)
{
    std::map<std::string, Core::Instant> leaving;
    for (const std::string &id : m_vms.leavingWorkers()) {
        const auto known = m_leavingSince.find(id);
        leaving[id] = known == m_leavingSince.end() ? now : known->second;
    }
    m_leavingSince = std::move(leaving);
}

Json::Value WorkerSimulation::report() const
{
    Json::Value value;
    for (const char *name : { "started", "finished", "failed", "stopped" })
        value[name] = Json::Int64(0);
    for (const auto &[name, count] : m_counts)
        value[name] = Json::Int64(count);
    const auto isRunning = [](const auto &entry) { return entry.second.phase == Phase::Running; };
    value["running"] = Json::Int64(std::count_if(m_attempts.begin(), m_attempts.end(), isRunning));
    value["workDoneMs"] = Json::Int64(m_workDone.count() / 1000);
    return value;
}

} // namespace StandIn
