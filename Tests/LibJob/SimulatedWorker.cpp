#include "SimulatedWorker.h"

#include <algorithm>

using namespace Jobs;

/// Longer runs are those of long-running tasks, which report 100 percent progress.
static constexpr std::int64_t maxWorkMs = 1'000'000;

SimulatedWorker::SimulatedWorker(WorkerInfo info, double clockRate)
    : m_info(std::move(info))
    , m_clockRate(clockRate)
{
}

std::int64_t SimulatedWorker::clockMs(std::int64_t nowMs) const
{
    return 1 + static_cast<std::int64_t>(static_cast<double>(nowMs - m_bootMs) * m_clockRate);
}

bool SimulatedWorker::acceptToken(FencingToken token)
{
    if (token < m_token && !ignoresTokens)
        return false;
    m_token = std::max(m_token, token);
    return true;
}

StartOutcome SimulatedWorker::start(const StartCommand &command, const Run &work,
                                    std::int64_t nowMs)
{
    if (!acceptToken(command.token))
        return StartOutcome::Fenced;
    const std::int64_t clock = clockMs(nowMs);
    if (command.leaseDeadlineMs <= clock)
        return StartOutcome::Late;
    const auto same = m_running.find(command.task);
    if (same != m_running.end() && same->second.number == command.run)
        return StartOutcome::Started;
    if (same != m_running.end() || command.run <= m_highestEndedRun[command.task])
        return StartOutcome::OldRun;
    m_leaseEndMs = std::max(m_leaseEndMs, std::min(command.leaseDeadlineMs, clock + maxLeaseMs));
    m_running[command.task] = work;
    m_running[command.task].number = command.run;
    m_running[command.task].startedAtMs = nowMs;
    return StartOutcome::Started;
}

void SimulatedWorker::end(const TaskName &task, EndKind kind)
{
    const auto run = m_running.extract(task);
    std::int64_t &highest = m_highestEndedRun[task];
    highest = std::max(highest, run.mapped().number);
    m_ended.push_back({ { ++m_ends, task, run.mapped().number, kind, "" }, m_expiries });
    m_newEnds.push_back(m_ended.back().entry);
}

bool SimulatedWorker::stop(const StopCommand &command, std::int64_t nowMs)
{
    if (!acceptToken(command.token))
        return false;
    const auto run = m_running.find(command.task);
    const bool isThere = run != m_running.end() && run->second.number <= command.run;
    if (isThere && stopTakesMs == 0) {
        end(command.task, EndKind::Stopped);
    } else if (isThere) {
        run->second.endsAtMs = std::min(run->second.endsAtMs, nowMs + stopTakesMs);
        run->second.endKind = EndKind::Stopped;
        run->second.hangs = false;
    }
    std::int64_t &highest = m_highestEndedRun[command.task];
    highest = std::max(highest, command.run);
    return true;
}

std::optional<WorkerReport> SimulatedWorker::renew(const RenewCommand &command, std::int64_t nowMs)
{
    if (!acceptToken(command.token))
        return std::nullopt;
    const std::int64_t clock = clockMs(nowMs);
    if (command.leaseDeadlineMs > 0)
        m_leaseEndMs
            = std::max(m_leaseEndMs, std::min(command.leaseDeadlineMs, clock + maxLeaseMs));
    while (!m_ended.empty() && m_ended.front().entry.number <= command.acknowledgedEnd) {
        if (m_ended.front().expiriesBefore == m_expiries)
            m_acknowledged.push_back(m_ended.front().entry);
        m_ended.erase(m_ended.begin());
    }
    WorkerReport report;
    report.acknowledgedEnd = command.acknowledgedEnd;
    report.clockMs = clock;
    report.processStartUnixMs = m_info.processStartUnixMs;
    for (const auto &[task, run] : m_running) {
        const std::int64_t whole = std::max<std::int64_t>(run.endsAtMs - run.startedAtMs, 1);
        const bool isLongRunning = whole > maxWorkMs;
        std::int64_t percent = isLongRunning ? 100 : 100 * (nowMs - run.startedAtMs) / whole;
        if (run.hangs)
            percent = 0;
        report.running.push_back(
            { task, run.number, "", static_cast<int>(std::min<std::int64_t>(percent, 100)), 0 });
    }
    for (const ListedEnd &end : m_ended) {
        if (report.ended.size() < WorkerReport::maxEnds)
            report.ended.push_back(end.entry);
    }
    if (!report.ended.empty())
        m_reportedEnd = report.ended.back().number;
    return report;
}

std::vector<TaskName> SimulatedWorker::unreportedEnds() const
{
    std::vector<TaskName> tasks;
    for (const ListedEnd &end : m_ended) {
        if (end.entry.number > m_reportedEnd)
            tasks.push_back(end.entry.task);
    }
    return tasks;
}

std::vector<EndedEntry> SimulatedWorker::takeAcknowledged()
{
    return std::exchange(m_acknowledged, {});
}

std::vector<EndedEntry> SimulatedWorker::advance(std::int64_t nowMs)
{
    std::vector<std::pair<TaskName, EndKind>> due;
    const bool isExpired = clockMs(nowMs) >= m_leaseEndMs;
    m_expiries += isExpired && !m_isExpired ? 1 : 0;
    m_isExpired = isExpired;
    for (const auto &[task, run] : m_running) {
        if (isExpired)
            due.emplace_back(task, EndKind::LeaseExpired);
        else if (run.endsAtMs <= nowMs && !run.hangs)
            due.emplace_back(task, run.endKind);
    }
    for (const auto &[task, kind] : due)
        end(task, kind);
    return std::exchange(m_newEnds, {});
}

void SimulatedWorker::crash()
{
    m_isUp = false;
    m_running.clear();
}

void SimulatedWorker::restart(std::int64_t nowMs, std::int64_t startUnixMs)
{
    m_isUp = true;
    m_bootMs = nowMs;
    m_info.processStartUnixMs = startUnixMs;
    m_token = 0;
    m_leaseEndMs = 0;
    m_ends = 0;
    m_reportedEnd = 0;
    m_highestEndedRun.clear();
    m_ended.clear();
    m_newEnds.clear();
    m_acknowledged.clear();
    m_isExpired = true;
}
