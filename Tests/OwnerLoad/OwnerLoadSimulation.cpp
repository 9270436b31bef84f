#include "OwnerLoadSimulation.h"

#include <algorithm>
#include <utility>
#include <variant>

using namespace Jobs;
using std::chrono::milliseconds;

static constexpr std::int64_t workerMilliCores = 32'000;
static constexpr std::int64_t workerMebibytes = 128'000;
static constexpr Core::Duration transitTime = milliseconds(1);
/// From the sending of a submission until the owner has read it.
static constexpr Core::Duration submissionTime = milliseconds(15);
static constexpr Core::Duration appendTime = milliseconds(5);
static constexpr Core::Duration commitInterval = milliseconds(20);
static constexpr Core::Duration heartbeatInterval = milliseconds(500);
static constexpr Core::Duration probeInterval = milliseconds(100);
static constexpr Core::Duration commandTimeout = milliseconds(1000);
static constexpr Core::Duration minStartTime = milliseconds(500);
static constexpr Core::Duration minTurnPause = milliseconds(2);
static constexpr Core::Duration maxTurnPause = milliseconds(50);
/// Up to this multiple of its objective, a late job still has part of its value.
static constexpr int lateFactor = 3;

static Core::Duration scaled(Core::Duration cost, double factor)
{
    return std::chrono::duration_cast<Core::Duration>(
        std::chrono::duration<double, std::micro>(cost) * factor);
}

LoopCosts LoopCosts::scaledBy(double factor) const
{
    LoopCosts costs = withCallsScaledBy(factor);
    costs.turn = scaled(turn, factor);
    costs.commit = scaled(commit, factor);
    return costs;
}

LoopCosts LoopCosts::withCallsScaledBy(double factor) const
{
    LoopCosts costs = *this;
    costs.start = scaled(start, factor);
    costs.startAnswer = scaled(startAnswer, factor);
    costs.renewal = scaled(renewal, factor);
    costs.report = scaled(report, factor);
    costs.job = scaled(job, factor);
    return costs;
}

OwnerLoadSimulation::OwnerLoadSimulation(int workers, std::vector<QueueLoad> queues,
                                         const LoopCosts &costs)
    : m_queues(std::move(queues))
    , m_costs(costs)
    , m_scheduler(SchedulerSettings(), { 1, 0, Core::Instant() }, m_log)
    , m_results(m_queues.size())
{
    Catalogue catalogue;
    for (const QueueLoad &load : m_queues) {
        Queue queue;
        queue.id = QueueId(load.name);
        queue.service = ServiceId("service");
        queue.priority = load.priority;
        queue.attemptLimit = 3;
        queue.stretch = load.stretch;
        queue.objectiveBaseMs = load.objectiveBaseMs;
        catalogue.queues.push_back(queue);
    }
    m_scheduler.setCatalogue(catalogue);
    std::vector<WorkerInfo> infos;
    for (int i = 0; i < workers; ++i) {
        WorkerInfo info;
        info.id = Core::VmId("worker-" + std::to_string(i));
        info.address = info.id.text();
        info.service = ServiceId("service");
        info.capacity = { workerMilliCores, workerMebibytes, 0 };
        info.processStartUnixMs = 1;
        infos.push_back(info);
        m_workers[info.id];
    }
    m_scheduler.setWorkers(infos, now());
    for (std::size_t i = 0; i < m_queues.size(); ++i)
        scheduleSubmission(i);
    probe(Urgent);
    probe(Ordinary);
    wakeTurn();
}

TimePoint OwnerLoadSimulation::now() const
{
    return { m_now, std::chrono::duration_cast<milliseconds>(m_now.time_since_epoch()).count() };
}

void OwnerLoadSimulation::at(Core::Instant time, std::function<void()> happen)
{
    m_events.push({ time, m_eventOrder++, std::move(happen) });
}

void OwnerLoadSimulation::after(Core::Duration delay, std::function<void()> happen)
{
    at(m_now + delay, std::move(happen));
}

void OwnerLoadSimulation::run(Core::Duration duration)
{
    const Core::Instant end = m_now + duration;
    while (!m_events.empty() && m_events.top().at <= end) {
        const std::function<void()> happen = m_events.top().happen;
        m_now = m_events.top().at;
        m_events.pop();
        happen();
    }
    m_now = end;
}

void OwnerLoadSimulation::pause(Core::Duration duration)
{
    post(Loop, [duration] { return duration; });
    run(duration);
}

void OwnerLoadSimulation::beginCounting()
{
    m_isCounting = true;
    m_countingSince = m_now;
    m_busyTime = {};
    m_lagSum = {};
    m_lagCount = 0;
    m_starts = 0;
    m_results.assign(m_queues.size(), {});
}

QueueResult OwnerLoadSimulation::result(const std::string &queue) const
{
    for (std::size_t i = 0; i < m_queues.size(); ++i) {
        if (m_queues[i].name == queue)
            return m_results[i];
    }
    return {};
}

double OwnerLoadSimulation::utilization() const
{
    return std::chrono::duration<double>(m_busyTime)
        / std::chrono::duration<double>(m_now - m_countingSince);
}

Core::Duration OwnerLoadSimulation::meanLag() const
{
    return m_lagCount == 0 ? Core::Duration() : m_lagSum / m_lagCount;
}

Core::Duration OwnerLoadSimulation::longestWait(const std::string &queue, int step) const
{
    const auto found = m_log.longestWaits.find({ queue, step });
    return found == m_log.longestWaits.end() ? Core::Duration() : found->second;
}

Core::Duration OwnerLoadSimulation::meanUnwatched(const std::string &queue) const
{
    const auto ends = m_log.ends.find(queue);
    return ends == m_log.ends.end() ? Core::Duration()
                                    : m_log.unwatchedSums.at(queue) / ends->second;
}

void OwnerLoadSimulation::post(Lane lane, Work work)
{
    m_lanes[lane].push_back(std::move(work));
    if (!std::exchange(m_isServing, true))
        at(std::max(m_now, m_busyUntil), [this] { serve(); });
}

void OwnerLoadSimulation::serve()
{
    const auto lane = std::find_if(m_lanes.begin(), m_lanes.end(),
                                   [](const std::deque<Work> &works) { return !works.empty(); });
    if (lane == m_lanes.end()) {
        m_isServing = false;
        return;
    }
    const Work work = std::move(lane->front());
    lane->pop_front();
    const Core::Duration cost = work();
    m_busyTime += cost;
    m_busyUntil = m_now + cost;
    at(m_busyUntil, [this] { serve(); });
}

void OwnerLoadSimulation::scheduleSubmission(std::size_t queue)
{
    std::exponential_distribution<double> gap(m_queues[queue].jobsPerSecond);
    const std::chrono::duration<double> delay(gap(m_random));
    after(std::chrono::duration_cast<Core::Duration>(delay), [this, queue] {
        submitJob(queue);
        scheduleSubmission(queue);
    });
}

void OwnerLoadSimulation::submitJob(std::size_t queue)
{
    const QueueLoad &load = m_queues[queue];
    JobEntry entry;
    const int number = m_jobCount++;
    const std::string digits = std::to_string(number);
    entry.submission.id = JobId(std::string(16 - digits.size(), '0') + digits);
    entry.submission.queue.id = QueueId(load.name);
    entry.submission.queue.service = ServiceId("service");
    entry.submission.queue.priority = load.priority;
    entry.submission.submittedUnixMs = now().unixMs;
    const int steps = number % 2 == 0 ? load.minSteps : load.maxSteps;
    for (int i = 0; i < steps; ++i) {
        StepSpec step;
        step.taskCount = load.tasksPerStep;
        step.need = { load.milliCores, 1000, 0 };
        step.estimateMs = load.taskMs;
        step.isLongRunning = load.isLongRunning;
        if (i > 0)
            step.after = { i - 1 };
        entry.submission.spec.steps.push_back(step);
    }
    JobInfo &info = m_jobs[entry.submission.id];
    info.queue = queue;
    info.submittedAt = m_now;
    info.objective = milliseconds(
        static_cast<std::int64_t>(load.stretch * static_cast<double>(steps * load.taskMs))
        + load.objectiveBaseMs);
    info.isCounted = m_isCounting && !load.isLongRunning;
    if (info.isCounted)
        after(lateFactor * info.objective, [this, id = entry.submission.id] { countResult(id); });
    after(submissionTime, [this, entry] {
        post(Loop, [this, entry] {
            m_scheduler.addJob(entry, now());
            wakeTurn();
            return m_costs.job;
        });
    });
}

void OwnerLoadSimulation::wakeTurn()
{
    if (m_isTurnQueued)
        return;
    m_isTurnQueued = true;
    ++m_turnRequest;
    at(std::max(m_now, m_nextTurnAt), [this] { post(Loop, [this] { return takeTurn(); }); });
}

Core::Duration OwnerLoadSimulation::takeTurn()
{
    const Core::Instant beganAt = m_now;
    for (const RenewCommand &command : m_scheduler.takeRenewals(now()))
        sendRenewal(command);
    for (const Command &command : m_scheduler.takeCommands(now())) {
        if (const auto *start = std::get_if<StartCommand>(&command))
            sendStart(*start, beganAt);
    }
    beginCommitIfDue();
    const Core::Duration cost = m_costs.turn;
    m_nextTurnAt = m_now + cost + std::clamp(cost, minTurnPause, maxTurnPause);
    m_isTurnQueued = false;
    const std::int64_t request = m_turnRequest;
    const Core::Instant next = m_scheduler.nextWakeup(now());
    at(std::max(next, m_nextTurnAt), [this, request] {
        if (request == m_turnRequest)
            wakeTurn();
    });
    return cost;
}

void OwnerLoadSimulation::beginCommitIfDue()
{
    if (m_isCommitting || (!m_scheduler.needsCommit() && m_now < m_nextHeartbeatAt))
        return;
    m_isCommitting = true;
    post(Loop, [this] {
        Commit commit = m_scheduler.takeCommit();
        const Core::Instant sentAt = m_now;
        m_nextHeartbeatAt = m_now + heartbeatInterval;
        after(m_costs.commit + appendTime, [this, commit = std::move(commit), sentAt] {
            post(Loop, [this, commit, sentAt] {
                m_scheduler.onCommitted(commit.number, sentAt, now());
                for (const JobRecord &record : commit.records)
                    noteRecord(record);
                wakeTurn();
                after(commitInterval, [this] {
                    m_isCommitting = false;
                    wakeTurn();
                });
                return m_costs.commit;
            });
        });
        return m_costs.commit;
    });
}

void OwnerLoadSimulation::noteRecord(const JobRecord &record)
{
    const auto *ended = std::get_if<EndedJob>(&record);
    if (!ended || ended->state != JobState::Completed)
        return;
    const auto found = m_jobs.find(ended->id);
    if (found != m_jobs.end() && found->second.shownAt == Core::Instant())
        found->second.shownAt = m_now;
}

void OwnerLoadSimulation::countResult(const JobId &id)
{
    const JobInfo &info = m_jobs.at(id);
    QueueResult &result = m_results[info.queue];
    ++result.owed;
    if (info.shownAt == Core::Instant())
        return;
    const bool isOnTime = info.shownAt <= info.submittedAt + info.objective;
    ++(isOnTime ? result.onTime : result.late);
}

void OwnerLoadSimulation::sendStart(const StartCommand &command, Core::Instant decidedAt)
{
    post(command.isUrgent ? Urgent : Ordinary, [this, command, decidedAt]() -> Core::Duration {
        if (m_now >= decidedAt + commandTimeout - minStartTime) {
            m_scheduler.onStartOutcome(command, StartOutcome::Withheld, now());
            wakeTurn();
            return m_costs.turn / 10;
        }
        after(m_costs.start + transitTime, [this, command] {
            startAt(m_workers.at(command.worker), command);
            after(transitTime, [this, command] {
                post(Urgent, [this, command] {
                    m_scheduler.onStartOutcome(command, StartOutcome::Started, now());
                    wakeTurn();
                    return m_costs.startAnswer;
                });
            });
        });
        return m_costs.start;
    });
}

void OwnerLoadSimulation::startAt(Worker &worker, const StartCommand &command)
{
    ++m_starts;
    worker.leaseEndsAt
        = std::max(worker.leaseEndsAt, Core::Instant(milliseconds(command.leaseDeadlineMs)));
    worker.running[command.task] = command.run;
    const auto job = m_jobs.find(command.task.job);
    if (job == m_jobs.end())
        return;
    const QueueLoad &load = m_queues[job->second.queue];
    ++m_results[job->second.queue].startedTasks;
    if (!load.isLongRunning)
        after(milliseconds(load.taskMs),
              [this, command] { endRun(command.worker, command.task, command.run); });
}

void OwnerLoadSimulation::endRun(const Core::VmId &id, const TaskName &task, std::int64_t run)
{
    Worker &worker = m_workers.at(id);
    const auto found = worker.running.find(task);
    if (found == worker.running.end() || found->second != run)
        return;
    worker.running.erase(found);
    worker.ended.push_back({ ++worker.lastEnd, task, run, EndKind::Done, "" });
    if (worker.openRenewal != 0)
        answerRenewal(id, worker);
}

void OwnerLoadSimulation::sendRenewal(const RenewCommand &command)
{
    post(Urgent, [this, command] {
        const Core::Instant sentAt = m_now;
        after(m_costs.renewal + transitTime,
              [this, command, sentAt] { renewAt(m_workers.at(command.worker), command, sentAt); });
        return m_costs.renewal;
    });
}

void OwnerLoadSimulation::renewAt(Worker &worker, const RenewCommand &command, Core::Instant sentAt)
{
    const bool isLapsed = m_now > worker.leaseEndsAt && !worker.running.empty();
    if (isLapsed) {
        m_lapsedRuns += static_cast<int>(worker.running.size());
        for (const auto &[task, run] : worker.running)
            worker.ended.push_back({ ++worker.lastEnd, task, run, EndKind::LeaseExpired, "" });
        worker.running.clear();
    }
    worker.leaseEndsAt
        = std::max(worker.leaseEndsAt, Core::Instant(milliseconds(command.leaseDeadlineMs)));
    while (!worker.ended.empty() && worker.ended.front().number <= command.acknowledgedEnd)
        worker.ended.pop_front();
    worker.renewalSentAt = sentAt;
    const std::int64_t renewal = ++m_eventOrder;
    worker.openRenewal = renewal;
    if (!worker.ended.empty() || command.waitMs == 0) {
        answerRenewal(command.worker, worker);
        return;
    }
    after(milliseconds(command.waitMs), [this, id = command.worker, renewal] {
        Worker &waiting = m_workers.at(id);
        if (waiting.openRenewal == renewal)
            answerRenewal(id, waiting);
    });
}

void OwnerLoadSimulation::answerRenewal(const Core::VmId &id, Worker &worker)
{
    worker.openRenewal = 0;
    WorkerReport report;
    report.clockMs = now().unixMs;
    report.processStartUnixMs = 1;
    for (const auto &[task, run] : worker.running)
        report.running.push_back({ task, run, "", 50, 500 });
    report.ended.assign(worker.ended.begin(), worker.ended.end());
    const Core::Instant sentAt = worker.renewalSentAt;
    after(transitTime, [this, id, report = std::move(report), sentAt] {
        post(Urgent, [this, id, report, sentAt] {
            m_scheduler.onReport(id, report, sentAt, now());
            wakeTurn();
            return m_costs.report;
        });
    });
}

void OwnerLoadSimulation::probe(Lane lane)
{
    m_probeDueAt[lane] = m_now + probeInterval;
    after(probeInterval, [this, lane] {
        post(lane, [this, lane] {
            const Core::Duration ownLag = m_now - m_probeDueAt[lane];
            if (lane == Ordinary) {
                m_ordinaryLag = std::min(ownLag, m_lastOrdinaryLag);
                m_lastOrdinaryLag = ownLag;
            } else {
                const Core::Duration lag
                    = std::max({ ownLag, m_now - m_probeDueAt[Ordinary], m_ordinaryLag });
                m_scheduler.setLag(lag);
                m_lagSum += lag;
                ++m_lagCount;
            }
            probe(lane);
            return Core::Duration(0);
        });
    });
}
