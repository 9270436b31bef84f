#include "JobWorld.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <utility>

using namespace Jobs;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t stepMs = 10;
constexpr std::int64_t commandTimeoutMs = 1000;
constexpr std::int64_t commitMs = 5;
constexpr std::int64_t fullMilliCores = 4000;
/// A worker describes itself in the store at this interval.
constexpr std::int64_t publicationIntervalMs = 1500;
/// A capacity that has shrunk binds the starts after this time.
constexpr std::int64_t capacityGraceMs = 3000 + publicationIntervalMs;
constexpr std::int64_t longRunningMs = 1'000'000'000;

/// Writes all events to the standard error if the environment variable JOB_WORLD_TRACE is set, for
/// the replay of a seed.
class Trace final : public DecisionLog
{
public:
    void note(std::string_view subject, std::string_view event, std::string_view inputs) override
    {
        static const bool isOn = std::getenv("JOB_WORLD_TRACE") != nullptr;
        if (isOn)
            std::cerr << nowMs << " node" << node << ' ' << subject << ' ' << event << ' ' << inputs
                      << '\n';
    }
    void noteInterruption(const TaskName &task, std::string_view inputs) override
    {
        DecisionLog::noteInterruption(task, inputs);
        interruptionsLoggedAtMs[{ task.job, task.step }] = nowMs;
    }

    /// When a line last said why long-running tasks of a step don't run.
    std::map<std::pair<JobId, int>, std::int64_t> interruptionsLoggedAtMs;
    std::int64_t nowMs = 0;
    std::size_t node = 0;
};

} // namespace

JobSpec simulatedJob(const std::vector<int> &widths, const std::string &payload)
{
    JobSpec spec;
    spec.payload = payload;
    for (std::size_t i = 0; i < widths.size(); ++i) {
        StepSpec step;
        step.taskCount = widths[i];
        step.need = { 500, 100, 0 };
        step.estimateMs = 800;
        step.isLongRunning = JobWorld::isLongRunning(payload);
        if (i > 0)
            step.after.push_back(static_cast<int>(i) - 1);
        spec.steps.push_back(step);
    }
    return spec;
}

bool JobWorld::isLongRunning(const std::string &payload)
{
    return payload == longRunningPayload || payload == longRunningCrashingPayload;
}

bool JobWorld::isCrashing(const std::string &payload)
{
    return payload == crashingPayload || payload == longRunningCrashingPayload;
}

struct JobWorld::Node
{
    Trace log;
    std::unique_ptr<JobScheduler> scheduler;
    FencingToken token = 0;
    std::int64_t provenAtMs = 0;
    std::int64_t frozenUntilMs = 0;
    std::int64_t storePartitionedUntilMs = 0;
    std::map<std::size_t, std::int64_t> workerPartitionedUntilMs;
    /// By how much the node's time of day differs from the true one.
    std::int64_t clockErrorMs = 0;
    bool isCommitting = false;
    /// JobWorld::m_listVersion of the list that the scheduler was given last.
    std::int64_t listVersion = 0;
    /// Identifies the current scheduler of the node: answers to an earlier one are dropped.
    std::int64_t generation = 0;
};

struct JobWorld::TaskHistory
{
    std::vector<std::int64_t> startedAtMs;
    /// Failed runs with the time of their end.
    std::map<std::int64_t, std::int64_t> failedAtMs;
    /// Failed runs whose ends were acknowledged in time; each counts as an attempt.
    std::set<std::int64_t> attempts;
    /// Crashes of workers that the task caused.
    int crashes = 0;
    /// Crashes of workers that ran the task, or hadn't reported its end, whatever caused them.
    int crashesAround = 0;
    int startsAfterThirdCrash = 0;
    bool isDone = false;
    /// Runs that have ended as done, with the time of their end.
    std::map<std::int64_t, std::int64_t> doneAtMs;
    /// When the first run ended as done whose end was acknowledged in time; -1 if none was.
    std::int64_t acknowledgedDoneAtMs = -1;
    /// When a run of the task was last seen on a worker that is up; for one that never ran, when
    /// its job was submitted.
    std::int64_t lastRanAtMs = 0;
    /// Since when two workers have had room for the task all the time; -1 while they don't.
    std::int64_t roomSinceMs = -1;
};

JobWorld::JobWorld(std::uint32_t seed, const FaultRates &faults, DisabledGuard disabledGuard,
                   const WorkerLife &life)
    : m_random(seed)
    , m_faults(faults)
    , m_disabledGuard(disabledGuard)
    , m_life(life)
{
    m_settings.maxLease = milliseconds(m_life.maxLeaseMs);
    for (std::size_t i = 0; i < m_life.workerCount; ++i) {
        WorkerInfo info;
        info.id = Core::VmId("w" + std::to_string(i));
        info.address = info.id.text();
        info.failureDomain = Core::FailureDomainId("d" + std::to_string(i % 2));
        info.service = ServiceId("service");
        info.capacity = { fullMilliCores, 8000, 0 };
        info.processStartUnixMs = 1;
        m_workers.push_back(std::make_unique<SimulatedWorker>(info, i % 2 == 0 ? 1.0 : 0.98));
        m_workers.back()->stopTakesMs = m_life.stopTakesMs;
        m_workers.back()->maxLeaseMs = m_life.maxLeaseMs;
        m_workers.back()->ignoresTokens = disabledGuard == DisabledGuard::Fence;
    }
    for (std::size_t i = 0; i < nodeCount; ++i) {
        m_nodes.push_back(std::make_unique<Node>());
        m_nodes.back()->log.node = i;
    }
}

JobWorld::~JobWorld() = default;

TimePoint JobWorld::now() const
{
    return { Core::Instant(milliseconds(m_nowMs)), m_nowMs };
}

TimePoint JobWorld::now(const Node &node) const
{
    return { now().instant, m_nowMs + node.clockErrorMs };
}

bool JobWorld::chance(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

std::int64_t JobWorld::randomBetween(std::int64_t min, std::int64_t max)
{
    return std::uniform_int_distribution<std::int64_t>(min, max)(m_random);
}

void JobWorld::fail(const std::string &what)
{
    if (m_violation.empty())
        m_violation = std::to_string(m_nowMs) + " ms: " + what;
}

void JobWorld::schedule(std::int64_t delayMs, Action action)
{
    m_events.emplace(m_nowMs + delayMs, std::move(action));
}

JobId JobWorld::submit(const JobSpec &spec, int attemptLimit)
{
    Submission submission;
    submission.id = JobId("job" + std::to_string(m_submitted++));
    submission.queue.id = QueueId("queue");
    submission.queue.service = ServiceId("service");
    submission.queue.attemptLimit = attemptLimit;
    submission.queue.stretch = m_stretch;
    submission.spec = spec;
    submission.submittedUnixMs = m_nowMs;
    m_table.apply(submission);
    m_submissions.emplace(submission.id, submission);
    for (std::size_t i = 0; i < spec.steps.size(); ++i) {
        for (int task = 0; task < spec.steps[i].taskCount; ++task)
            m_history[{ submission.id, 0, static_cast<int>(i), task }].lastRanAtMs = m_nowMs;
    }
    for (const auto &node : m_nodes) {
        if (node->scheduler)
            node->scheduler->addJob(*m_table.find(submission.id), now(*node));
    }
    return submission.id;
}

void JobWorld::cancel(const JobId &id)
{
    m_table.apply(Cancellation { id });
    for (const auto &node : m_nodes) {
        if (node->scheduler && node->storePartitionedUntilMs <= m_nowMs)
            node->scheduler->cancelJob(id, now(*node));
    }
}

std::vector<WorkerInfo> JobWorld::listedWorkers() const
{
    std::vector<WorkerInfo> list;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (!m_removed.contains(i))
            list.push_back(m_workers[i]->info());
    }
    return list;
}

bool JobWorld::claim(std::size_t index)
{
    Node &node = *m_nodes[index];
    if (node.storePartitionedUntilMs > m_nowMs || node.frozenUntilMs > m_nowMs)
        return false;
    m_logEnd += randomBetween(1, 40);
    m_epoch = m_logEnd;
    ++m_term;
    Ownership ownership;
    ownership.token = m_epoch;
    ownership.term = m_term;
    ownership.provenAt = now().instant;
    ownership.recordedSuspensions = m_suspensions.workers();
    if (m_term > 0 && m_disabledGuard != DisabledGuard::FormerLeases) {
        ownership.formerLeasesEndAt = Core::Instant(milliseconds(m_lastOwnerWriteMs))
            + m_settings.longestOnOwnersClock(m_settings.maxLeaseAfterProof);
        ownership.formerLeaseEnds = m_suspensions.leaseEnds(m_term - 1, m_settings);
    }
    node.log.note("site", "CLAIM", std::to_string(m_epoch));
    SchedulerSettings settings = m_settings;
    if (m_disabledGuard == DisabledGuard::LeaseAfterProof)
        settings.maxLeaseAfterProof = settings.ownershipProofTimeout + settings.lease;
    if (m_disabledGuard == DisabledGuard::Proof)
        settings.maxLeaseAfterProof = std::chrono::hours(1);
    node.scheduler = std::make_unique<JobScheduler>(settings, ownership, node.log);
    node.token = m_epoch;
    node.provenAtMs = m_nowMs;
    node.isCommitting = false;
    ++node.generation;
    m_lastOwnerWriteMs = m_nowMs;
    m_claimedAtMs = m_nowMs;
    Catalogue catalogue;
    node.scheduler->setCatalogue(catalogue);
    for (const auto &[id, entry] : m_table.jobs())
        node.scheduler->addJob(entry, now(node));
    node.scheduler->setWorkers(listedWorkers(), now(node));
    return true;
}

void JobWorld::kill(std::size_t node)
{
    m_disturbedUntilMs = m_nowMs;
    depose(node);
}

void JobWorld::depose(std::size_t node)
{
    m_nodes[node]->log.note("site", "DEPOSED", "");
    m_nodes[node]->scheduler.reset();
    ++m_nodes[node]->generation;
}

void JobWorld::release(std::size_t index)
{
    Node &node = *m_nodes[index];
    if (!node.scheduler || node.token < m_epoch)
        return;
    m_lastOwnerWriteMs = m_nowMs;
    kill(index);
}

void JobWorld::partitionStore(std::size_t node, std::int64_t forMs)
{
    m_nodes[node]->log.note("store", "PARTITIONED", std::to_string(forMs));
    m_nodes[node]->storePartitionedUntilMs = m_nowMs + forMs;
}

void JobWorld::partitionWorker(std::size_t node, std::size_t worker, std::int64_t forMs)
{
    m_nodes[node]->log.note("w" + std::to_string(worker), "PARTITIONED", std::to_string(forMs));
    m_nodes[node]->workerPartitionedUntilMs[worker] = m_nowMs + forMs;
}

void JobWorld::freeze(std::size_t node, std::int64_t forMs)
{
    m_nodes[node]->log.note("node", "FROZEN", std::to_string(forMs));
    m_nodes[node]->frozenUntilMs = m_nowMs + forMs;
}

void JobWorld::mute(std::size_t worker, std::int64_t forMs)
{
    m_nodes.front()->log.note(m_workers[worker]->info().id.text(), "MUTE", std::to_string(forMs));
    m_disturbedUntilMs = m_nowMs + forMs;
    m_muteUntilMs[worker] = m_nowMs + forMs;
}

bool JobWorld::isMute(std::size_t worker) const
{
    const auto mute = m_muteUntilMs.find(worker);
    return mute != m_muteUntilMs.end() && mute->second > m_nowMs;
}

void JobWorld::setClockError(std::size_t node, std::int64_t milliseconds)
{
    m_nodes[node]->log.note("clock", "STEPS", std::to_string(milliseconds));
    m_nodes[node]->clockErrorMs = milliseconds;
}

void JobWorld::setWorkerClockError(std::size_t worker, std::int64_t milliseconds)
{
    m_workerClockErrorMs[worker] = milliseconds;
}

void JobWorld::crashWorker(std::size_t index)
{
    m_nodes.front()->log.note(m_workers[index]->info().id.text(), "CRASHES", "");
    m_disturbedUntilMs = m_nowMs;
    for (const auto &[task, run] : m_workers[index]->running())
        ++m_history[task].crashesAround;
    // The owner can't tell a run that ended unreported from one that was lost.
    for (const TaskName &task : m_workers[index]->unreportedEnds())
        ++m_history[task].crashesAround;
    m_workers[index]->crash();
}

void JobWorld::drainWorker(std::size_t index)
{
    m_nodes.front()->log.note(m_workers[index]->info().id.text(), "DRAINS", "");
    m_workers[index]->setDraining();
    ++m_listVersion;
}

void JobWorld::removeWorker(std::size_t index)
{
    if (m_workers[index]->isUp())
        crashWorker(index);
    m_removed.insert(index);
    ++m_listVersion;
}

void JobWorld::restartWorker(std::size_t index)
{
    if (m_workers[index]->isUp() || m_removed.contains(index))
        return;
    m_disturbedUntilMs = m_nowMs;
    m_workers[index]->restart(m_nowMs, m_nowMs + 1 + m_workerClockErrorMs[index]);
    if (m_life.returnsUnderNewId)
        m_workers[index]->setId(
            Core::VmId(m_workers[index]->info().address + '-' + std::to_string(m_nowMs)));
    if (m_life.listedAfterMs > 0) {
        schedule(randomBetween(1, m_life.listedAfterMs), [this] { ++m_listVersion; });
        return;
    }
    for (const auto &node : m_nodes) {
        if (node->scheduler)
            node->scheduler->setWorkers(listedWorkers(), now(*node));
    }
}

void JobWorld::crashUntilReturn(std::size_t index)
{
    crashWorker(index);
    schedule(m_life.returnsAfterMs, [this, index] { restartWorker(index); });
}

void JobWorld::crashWorkers(double share)
{
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (m_workers[i]->isUp() && chance(share))
            crashUntilReturn(i);
    }
}

void JobWorld::crashUnder(const TaskName &task, std::size_t index)
{
    schedule(m_life.crashDelayMs,
             [this, task, index, processStart = m_workers[index]->info().processStartUnixMs] {
                 if (!m_workers[index]->isUp()
                     || m_workers[index]->info().processStartUnixMs != processStart)
                     return;
                 ++m_history[task].crashes;
                 crashUntilReturn(index);
             });
}

bool JobWorld::reaches(std::size_t node, std::size_t worker) const
{
    const auto &partitions = m_nodes[node]->workerPartitionedUntilMs;
    const auto partition = partitions.find(worker);
    return m_workers[worker]->isUp()
        && (partition == partitions.end() || partition->second <= m_nowMs);
}

void JobWorld::noteStart(const TaskName &task)
{
    TaskHistory &history = m_history[task];
    history.startedAtMs.push_back(m_nowMs);
    m_begun.insert(task.job);
    m_nodes.front()->log.note(task.text(), "STARTS", "");
    const JobEntry *entry = m_table.find(task.job);
    if (history.isDone && entry->progress && entry->progress->isFinal())
        fail("a task of an ended job is started: " + task.text());
    const auto attemptLimit
        = static_cast<std::size_t>(m_submissions.at(task.job).queue.attemptLimit);
    if (history.failedAtMs.size() >= attemptLimit)
        fail("a task is started after its last attempt: " + task.text());
    checkAttempts(task);
    checkDone(task);
    if (history.crashes >= 3)
        ++history.startsAfterThirdCrash;
    checkCrashes(history, task);
}

void JobWorld::checkCrashes(const TaskHistory &history, const TaskName &task)
{
    constexpr int forbiddenStart = 3;
    if (history.startsAfterThirdCrash >= forbiddenStart)
        fail("a task is started three times after three workers have crashed under it: "
             + task.text());
}

void JobWorld::checkCauseOfFailure(const JobId &id)
{
    constexpr int crashesThatAllowGivingUp = 2;
    constexpr int crashesThatAllowGivingUpInnocent = 5;
    const auto attemptLimit = static_cast<std::size_t>(m_submissions.at(id).queue.attemptLimit);
    for (const auto &[task, history] : m_history) {
        if (task.job != id)
            continue;
        if (history.failedAtMs.size() >= attemptLimit || history.crashes >= crashesThatAllowGivingUp
            || history.crashesAround >= crashesThatAllowGivingUpInnocent)
            return;
    }
    fail("a job is given up without a cause: " + id.text());
}

void JobWorld::checkAttempts(const TaskName &task)
{
    const TaskHistory &history = m_history[task];
    const auto attemptLimit
        = static_cast<std::size_t>(m_submissions.at(task.job).queue.attemptLimit);
    std::vector<std::int64_t> failedAtMs;
    for (const std::int64_t run : history.attempts)
        failedAtMs.push_back(history.failedAtMs.at(run));
    std::sort(failedAtMs.begin(), failedAtMs.end());
    if (failedAtMs.size() >= attemptLimit
        && failedAtMs[attemptLimit - 1] < history.startedAtMs.back())
        fail("a task is started after its last attempt: " + task.text());
}

void JobWorld::checkDone(const TaskName &task)
{
    const TaskHistory &history = m_history[task];
    if (history.acknowledgedDoneAtMs >= 0 && !history.startedAtMs.empty()
        && history.acknowledgedDoneAtMs < history.startedAtMs.back())
        fail("a task is started after a run of it was done: " + task.text());
}

void JobWorld::noteAcknowledged(const EndedEntry &end)
{
    TaskHistory &history = m_history[end.task];
    if (end.kind == EndKind::Failed) {
        history.attempts.insert(end.run);
        checkAttempts(end.task);
    }
    if (end.kind != EndKind::Done)
        return;
    std::int64_t &first = history.acknowledgedDoneAtMs;
    const std::int64_t doneAtMs = history.doneAtMs.at(end.run);
    first = first < 0 ? doneAtMs : std::min(first, doneAtMs);
    checkDone(end.task);
}

void JobWorld::deliver(std::size_t worker, std::int64_t maxDelayMs, const Action &arrive)
{
    schedule(randomBetween(1, maxDelayMs), [this, worker, arrive] {
        const bool isKept = m_life.getsCallsOfFormerProcess && !m_workers[worker]->isUp();
        if (isKept)
            deliverUntil(worker, m_nowMs + commandTimeoutMs, arrive);
        else
            arrive();
    });
}

void JobWorld::deliverUntil(std::size_t worker, std::int64_t untilMs, const Action &arrive)
{
    constexpr std::int64_t maxRepetitionMs = 200;
    schedule(randomBetween(1, maxRepetitionMs), [this, worker, untilMs, arrive] {
        if (m_workers[worker]->isUp() || m_nowMs >= untilMs)
            arrive();
        else
            deliverUntil(worker, untilMs, arrive);
    });
}

FencingToken JobWorld::sentToken(std::size_t node, FencingToken token) const
{
    return m_disabledGuard == DisabledGuard::ProcessToken ? m_nodes[node]->token : token;
}

RenewCommand JobWorld::asReceived(const RenewCommand &command, std::size_t worker) const
{
    RenewCommand received = command;
    const bool isForProcess
        = m_workers[worker]->info().processStartUnixMs == command.processStartUnixMs;
    if (!isForProcess && m_disabledGuard != DisabledGuard::AcknowledgedProcess)
        received.acknowledgedEnd = 0;
    if (!isForProcess && areCommandsBound())
        received.leaseDeadlineMs = 0;
    return received;
}

bool JobWorld::areCommandsBound() const
{
    return m_disabledGuard != DisabledGuard::BoundCommands
        && m_disabledGuard != DisabledGuard::AcknowledgedProcess
        && m_disabledGuard != DisabledGuard::ProcessToken;
}

bool JobWorld::isReceived(const StartCommand &command, std::size_t worker) const
{
    return !areCommandsBound()
        || m_workers[worker]->info().processStartUnixMs == command.processStartUnixMs;
}

void JobWorld::send(std::size_t index, const StartCommand &command)
{
    const std::int64_t generation = m_nodes[index]->generation;
    const std::size_t target = indexOf(command.address);
    const auto answer = [this, index, generation, command](StartOutcome outcome) {
        Node &node = *m_nodes[index];
        if (node.generation == generation && node.scheduler)
            node.scheduler->onStartOutcome(command, outcome, now(node));
    };
    StartCommand sent = command;
    sent.token = sentToken(index, command.token);
    const auto execute = [this, target, command, sent]() {
        // Draws a random number only if this fault is enabled, so that other simulations keep their
        // random sequences.
        if (m_faults.refusedStart > 0 && chance(m_faults.refusedStart))
            return StartOutcome::Refused;
        if (m_workers[target]->info().id != command.worker)
            return StartOutcome::OtherIncarnation;
        if (!isReceived(command, target))
            return chance(0.5) ? StartOutcome::OtherProcess : StartOutcome::Unknown;
        SimulatedWorker::Run work;
        work.endsAtMs = m_nowMs
            + (isLongRunning(command.payload) ? longRunningMs
                                              : randomBetween(m_life.minTaskMs, 1500));
        work.endKind = chance(m_faults.failedRun) ? EndKind::Failed : EndKind::Done;
        work.hangs = chance(m_faults.hangingRun);
        const bool wasRunning = m_workers[target]->running().contains(command.task);
        if (m_life.guardsCapacity && !wasRunning
            && requestedMilliCores(target) + needOf(command.task) > capacityOf(target)) {
            ++m_rejectedForCapacity;
            return StartOutcome::NoRoom;
        }
        const StartOutcome outcome = m_workers[target]->start(sent, work, m_nowMs);
        if (outcome == StartOutcome::Started && !wasRunning) {
            noteStart(command.task);
            checkCapacity(target, command.task);
        }
        const bool crashes = command.task.index == 0 && isCrashing(command.payload);
        if (outcome == StartOutcome::Started && !wasRunning && crashes)
            crashUnder(command.task, target);
        return outcome;
    };
    const bool isLate = chance(m_faults.delayedCommand);
    const bool isDelayedByReceiver = isLate && m_life.getsCallsOfFormerProcess;
    if (isLate && !isDelayedByReceiver)
        executeLater(target, [execute] { execute(); });
    deliver(target, 30, [this, index, target, isLate, isDelayedByReceiver, answer, execute] {
        if (isDelayedByReceiver)
            executeLater(target, [execute] { execute(); });
        if (!isLate && isRefusedBy(target)) {
            schedule(randomBetween(1, 30), [answer] { answer(StartOutcome::NotSent); });
            return;
        }
        if (isLate || !reaches(index, target)) {
            schedule(commandTimeoutMs, [answer] { answer(StartOutcome::Unknown); });
            return;
        }
        const StartOutcome outcome = execute();
        const bool isLost = chance(m_faults.lostAnswer) || isMute(target);
        schedule(isLost ? commandTimeoutMs : randomBetween(1, 30),
                 [this, target, answer, outcome, isLost] {
                     if (isRefusedBy(target))
                         answer(StartOutcome::Interrupted);
                     else
                         answer(isLost ? StartOutcome::Unknown : outcome);
                 });
    });
}

void JobWorld::send(std::size_t index, const StopCommand &command)
{
    const std::int64_t generation = m_nodes[index]->generation;
    const std::size_t target = indexOf(command.address);
    StopCommand sent = command;
    sent.token = sentToken(index, command.token);
    schedule(randomBetween(1, 30), [this, index, target, generation, command, sent] {
        const bool isOther = m_workers[target]->info().id != command.worker;
        if (isOther || !reaches(index, target) || !m_workers[target]->stop(sent, m_nowMs)
            || chance(m_faults.lostAnswer) || isMute(target))
            return;
        schedule(randomBetween(1, 30), [this, index, generation, command] {
            Node &node = *m_nodes[index];
            if (node.generation == generation && node.scheduler)
                node.scheduler->onStopAnswered(command, now(node));
        });
    });
}

void JobWorld::send(std::size_t index, const RenewCommand &command)
{
    const std::int64_t generation = m_nodes[index]->generation;
    const std::size_t target = indexOf(command.address);
    const Core::Instant sentAt = now().instant;
    const auto failed = [this, index, target, generation, command] {
        Node &node = *m_nodes[index];
        const RenewalFailure failure
            = isRefusedBy(target) ? RenewalFailure::BrokenOff : RenewalFailure::TimedOut;
        if (node.generation == generation && node.scheduler)
            node.scheduler->onRenewalFailed(command.worker, failure, now(node));
    };
    const auto replaced = [this, index, generation, command, failed] {
        Node &node = *m_nodes[index];
        if (node.generation == generation && node.scheduler)
            node.scheduler->onOtherIncarnation(command.worker, command.address, now(node));
        failed();
    };
    RenewCommand sent = command;
    sent.token = sentToken(index, command.token);
    const auto execute = [this, target, sent] {
        return m_workers[target]->renew(asReceived(sent, target), m_nowMs);
    };
    // Draws a random number only if this fault is enabled; see above.
    const bool isLate = m_faults.delayedRenewal > 0 && chance(m_faults.delayedRenewal);
    deliver(target, 60,
            [this, index, target, generation, command, sentAt, failed, replaced, execute, isLate] {
                const bool isReached = reaches(index, target);
                if (isReached && m_workers[target]->info().id != command.worker) {
                    schedule(randomBetween(1, 30), replaced);
                    return;
                }
                if (isReached && isLate)
                    executeLater(target, [execute] { execute(); });
                const auto report = isReached && !isLate ? execute() : std::nullopt;
                if (!report || chance(m_faults.lostAnswer) || isMute(target)) {
                    schedule(isRefusedBy(target) ? randomBetween(1, 30) : commandTimeoutMs, failed);
                    return;
                }
                schedule(randomBetween(1, 30), [this, index, generation, command, sentAt, report] {
                    Node &node = *m_nodes[index];
                    if (node.generation == generation && node.scheduler)
                        node.scheduler->onReport(command.worker, *report, sentAt, now(node));
                });
            });
}

void JobWorld::executeLater(std::size_t worker, const Action &execute)
{
    const auto isSameProcess
        = [this, worker, processStart = m_workers[worker]->info().processStartUnixMs] {
              return m_workers[worker]->isUp()
                  && m_workers[worker]->info().processStartUnixMs == processStart;
          };
    schedule(randomBetween(2000, 12000), [isSameProcess, execute] {
        if (isSameProcess())
            execute();
    });
}

bool JobWorld::isRefusedBy(std::size_t worker) const
{
    return m_life.refusesCallsWhileDown && !m_workers[worker]->isUp();
}

std::size_t JobWorld::indexOf(const std::string &address) const
{
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        if (m_workers[i]->info().address == address)
            return i;
    }
    return 0;
}

void JobWorld::commit(std::size_t index)
{
    Node &node = *m_nodes[index];
    node.isCommitting = true;
    const PendingCommit pending { index, node.generation, m_nowMs, node.scheduler->takeCommit() };
    schedule(commitMs, [this, pending] { append(pending); });
}

void JobWorld::append(const PendingCommit &pending)
{
    Node &owner = *m_nodes[pending.node];
    if (owner.generation != pending.generation || !owner.scheduler)
        return;
    // The append is retried until it is answered.
    if (owner.storePartitionedUntilMs > m_nowMs || owner.frozenUntilMs > m_nowMs) {
        schedule(100, [this, pending] { append(pending); });
        return;
    }
    if (owner.token < m_epoch) {
        depose(pending.node);
        return;
    }
    for (const JobRecord &record : pending.commit.records) {
        checkRecords(record);
        m_table.apply(record);
        const auto *suspension = std::get_if<LeaseSuspension>(&record);
        const bool isRead = suspension
            && (!suspension->isLifted || m_disabledGuard != DisabledGuard::SuspensionEnd);
        if (isRead)
            m_suspensions.apply(*suspension, now().instant);
    }
    ++m_logEnd;
    owner.scheduler->offerToken(m_logEnd);
    m_lastOwnerWriteMs = m_nowMs;
    owner.provenAtMs = std::max(owner.provenAtMs, pending.sentAtMs);
    owner.isCommitting = false;
    const Core::Instant provenAt { milliseconds(pending.sentAtMs) };
    owner.scheduler->onCommitted(pending.commit.number, provenAt, now(owner));
}

/// The progress that the record tells; nothing if it tells none.
static std::optional<ProgressRecord> progressIn(const JobRecord &record)
{
    if (const auto *progress = std::get_if<ProgressRecord>(&record))
        return *progress;
    const auto *ended = std::get_if<EndedJob>(&record);
    if (!ended)
        return std::nullopt;
    ProgressRecord final { ended->id, {} };
    final.progress.state = ended->state;
    final.progress.endedUnixMs = ended->endedUnixMs;
    return final;
}

void JobWorld::checkRecords(const JobRecord &record)
{
    const std::optional<ProgressRecord> progress = progressIn(record);
    if (!progress)
        return;
    checkBegun(*progress);
    if (progress->progress.state == JobState::Failed)
        checkCauseOfFailure(progress->id);
    m_largestProgressBytes
        = std::max(m_largestProgressBytes, encodeRecord(*progress).front().value.size());
    if (progress->progress.state == JobState::Completed)
        checkCompleted(progress->id);
}

void JobWorld::checkCompleted(const JobId &id)
{
    const JobSpec &spec = m_submissions.at(id).spec;
    for (int occurrence = 0; occurrence < spec.occurrenceCount(); ++occurrence) {
        for (std::size_t step = 0; step < spec.steps.size(); ++step) {
            for (int i = 0; i < spec.steps[step].taskCount; ++i) {
                if (!m_history[{ id, occurrence, static_cast<int>(step), i }].isDone)
                    fail("a job is completed before all its tasks: " + id.text());
            }
        }
    }
}

void JobWorld::checkBegun(const ProgressRecord &record)
{
    const JobState state = record.progress.state;
    if (state == JobState::Running && !m_begun.contains(record.id))
        fail("a job is recorded as begun before a worker has started it: " + record.id.text());
    const JobEntry *entry = m_table.find(record.id);
    const bool hadBegun = entry->progress && entry->progress->state != JobState::Queued;
    if (state == JobState::Queued && hadBegun)
        fail("a job that has begun is recorded as waiting: " + record.id.text());
}

void JobWorld::runOwner(std::size_t index)
{
    Node &node = *m_nodes[index];
    if (!node.scheduler || node.frozenUntilMs > m_nowMs)
        return;
    if (node.scheduler->isDeposed()) {
        depose(index);
        return;
    }
    const auto unproven
        = std::chrono::duration_cast<milliseconds>(m_settings.ownershipProofTimeout).count();
    const bool isProven
        = m_disabledGuard == DisabledGuard::Proof || m_nowMs - node.provenAtMs < unproven;
    const bool isHeartbeatDue = m_nowMs - node.provenAtMs > 500;
    if (!node.isCommitting && (node.scheduler->needsCommit() || isHeartbeatDue))
        commit(index);
    if (!isProven)
        return;
    deliverList(node);
    node.scheduler->setStoreReachable(node.storePartitionedUntilMs <= m_nowMs);
    for (const RenewCommand &command : node.scheduler->takeRenewals(now(node)))
        send(index, command);
    const std::vector<Command> commands = node.scheduler->takeCommands(now(node));
    m_mostPlanningWork = std::max(m_mostPlanningWork, node.scheduler->planningWork());
    for (const Command &command : commands) {
        if (const auto *start = std::get_if<StartCommand>(&command))
            send(index, *start);
        if (const auto *stop = std::get_if<StopCommand>(&command))
            send(index, *stop);
    }
}

void JobWorld::injectFaults()
{
    const double perStep = static_cast<double>(stepMs) / 1000.0;
    const auto node = static_cast<std::size_t>(randomBetween(0, nodeCount - 1));
    const auto worker = static_cast<std::size_t>(
        randomBetween(0, static_cast<std::int64_t>(m_workers.size()) - 1));
    const std::int64_t forMs = randomBetween(200, m_faults.maxFaultMs);
    if (chance(m_faults.claim * perStep))
        claim(node);
    if (chance(m_faults.storePartition * perStep))
        partitionStore(node, forMs);
    if (chance(m_faults.workerPartition * perStep))
        partitionWorker(node, worker, forMs);
    if (chance(m_faults.freeze * perStep))
        freeze(node, forMs);
    // Draws a random number only if this fault is enabled; see send().
    if (m_faults.capacityChange > 0 && chance(m_faults.capacityChange * perStep)) {
        constexpr std::int64_t halfCore = 500;
        setCapacity(worker, halfCore * randomBetween(0, fullMilliCores / halfCore));
    }
    if (chance(m_faults.workerCrash * perStep) && m_workers[worker]->isUp()) {
        crashWorker(worker);
        schedule(forMs, [this, worker] { restartWorker(worker); });
    }
}

void JobWorld::setCapacity(std::size_t index, std::int64_t milliCores)
{
    m_nodes.front()->log.note(m_workers[index]->info().id.text(), "CAPACITY",
                              std::to_string(milliCores));
    m_capacities[index][m_nowMs] = milliCores;
    schedule(randomBetween(1, publicationIntervalMs), [this, index] { publishCapacity(index); });
}

void JobWorld::publishCapacity(std::size_t index)
{
    m_workers[index]->setCapacity(capacityOf(index));
    ++m_listVersion;
}

void JobWorld::deliverList(Node &node)
{
    if (node.listVersion == m_listVersion || node.storePartitionedUntilMs > m_nowMs)
        return;
    node.listVersion = m_listVersion;
    node.scheduler->setWorkers(listedWorkers(), now(node));
}

std::int64_t JobWorld::capacityOf(std::size_t index) const
{
    const auto changes = m_capacities.find(index);
    return changes == m_capacities.end() ? fullMilliCores : changes->second.rbegin()->second;
}

std::int64_t JobWorld::needOf(const TaskName &task) const
{
    const std::vector<StepSpec> &steps = m_submissions.at(task.job).spec.steps;
    return steps[static_cast<std::size_t>(task.step)].need.milliCores;
}

std::int64_t JobWorld::requestedMilliCores(std::size_t index) const
{
    std::int64_t requested = 0;
    for (const auto &[task, run] : m_workers[index]->running())
        requested += needOf(task);
    return requested;
}

void JobWorld::checkCapacity(std::size_t index, const TaskName &started)
{
    const auto changes = m_capacities.find(index);
    if (changes == m_capacities.end())
        return;
    std::int64_t allowed = 0;
    std::int64_t former = fullMilliCores;
    for (const auto &[sinceMs, milliCores] : changes->second) {
        if (sinceMs > m_nowMs - capacityGraceMs)
            allowed = std::max({ allowed, former, milliCores });
        former = milliCores;
    }
    allowed = std::max(allowed, former);
    if (requestedMilliCores(index) > allowed)
        fail("a start overfills a worker: " + started.text() + " on "
             + m_workers[index]->info().id.text());
}

void JobWorld::checkRuns()
{
    std::map<TaskName, int> counts;
    for (const auto &worker : m_workers) {
        if (!worker->isUp())
            continue;
        for (const auto &[task, run] : worker->running()) {
            if (++counts[task] > 1)
                fail("two runs of a task at the same time: " + task.text());
        }
    }
}

int JobWorld::workersWithRoom(const TaskName &task, const StepSpec &step) const
{
    int count = 0;
    for (std::size_t i = 0; i < m_workers.size(); ++i) {
        const SimulatedWorker &worker = *m_workers[i];
        if (!worker.isUp() || worker.info().isDraining || m_removed.contains(i))
            continue;
        const auto ofStep
            = std::count_if(worker.running().begin(), worker.running().end(), [&](const auto &run) {
                  return run.first.job == task.job && run.first.step == task.step;
              });
        const bool mayTake = step.maxPerWorker == 0 || ofStep < step.maxPerWorker;
        const bool hasRoom
            = requestedMilliCores(i) + step.need.milliCores <= worker.info().capacity.milliCores;
        count += mayTake && hasRoom ? 1 : 0;
    }
    return count;
}

bool JobWorld::isDisturbed() const
{
    const bool areMessagesDisturbed = m_faults.lostAnswer > 0 || m_faults.delayedCommand > 0
        || m_faults.delayedRenewal > 0 || m_faults.refusedStart > 0;
    return areMessagesDisturbed
        || std::any_of(m_nodes.begin(), m_nodes.end(), [this](const auto &node) {
               const bool isCutOff = std::any_of(
                   node->workerPartitionedUntilMs.begin(), node->workerPartitionedUntilMs.end(),
                   [this](const auto &partition) { return partition.second > m_nowMs; });
               return isCutOff || node->frozenUntilMs > m_nowMs
                   || node->storePartitionedUntilMs > m_nowMs;
           });
}

void JobWorld::checkIsBack(const TaskName &task, const StepSpec &step)
{
    constexpr std::int64_t allowedMs = 6000;
    constexpr std::int64_t roomMs = 3000;
    constexpr std::int64_t calmMs = 4000 + roomMs;
    TaskHistory &history = m_history[task];
    if (!isExplained(task))
        fail("no line says why a long-running task is away: " + task.text());
    if (awayMs(task) == 0 || workersWithRoom(task, step) < 2) {
        history.roomSinceMs = -1;
        return;
    }
    if (history.roomSinceMs < 0)
        history.roomSinceMs = m_nowMs;
    const bool isTooLong = awayMs(task) > allowedMs + roomMs;
    const bool hadRoom = m_nowMs - history.roomSinceMs > roomMs;
    if (isTooLong && hadRoom && m_nowMs - m_disturbedUntilMs > calmMs)
        fail("a long-running task is away though there is room: " + task.text() + " for "
             + std::to_string(awayMs(task)) + " ms");
}

bool JobWorld::isExplained(const TaskName &task) const
{
    // The owner may notice only after some time that a worker is gone, and repeats the line.
    constexpr std::int64_t unexplainedMs = 8000;
    constexpr std::int64_t repetitionMs = 5000;
    const auto owner = std::find_if(m_nodes.begin(), m_nodes.end(), [this](const auto &node) {
        return node->scheduler && node->token == m_epoch;
    });
    const bool mayBeUnexplained = awayMs(task) < unexplainedMs || startsOf(task) == 0
        || owner == m_nodes.end() || m_nowMs - m_disturbedUntilMs < unexplainedMs
        || m_nowMs - m_claimedAtMs < unexplainedMs;
    if (mayBeUnexplained)
        return true;
    const auto line = (*owner)->log.interruptionsLoggedAtMs.find({ task.job, task.step });
    return line != (*owner)->log.interruptionsLoggedAtMs.end()
        && m_nowMs - line->second <= repetitionMs;
}

void JobWorld::checkLongRunningTasks()
{
    if (isDisturbed())
        m_disturbedUntilMs = m_nowMs;
    for (const auto &worker : m_workers) {
        for (const auto &[task, run] : worker->running())
            m_history[task].lastRanAtMs = m_nowMs;
    }
    for (const auto &[id, entry] : m_table.jobs()) {
        const std::vector<StepSpec> &steps = entry.submission.spec.steps;
        if (entry.isOver() || steps.empty() || !steps.front().isLongRunning)
            continue;
        for (int i = 0; i < steps.front().taskCount; ++i)
            checkIsBack({ id, 0, 0, i }, steps.front());
    }
}

std::int64_t JobWorld::awayMs(const TaskName &task) const
{
    const auto found = m_history.find(task);
    return found == m_history.end() ? 0 : m_nowMs - found->second.lastRanAtMs;
}

void JobWorld::step()
{
    m_nowMs += stepMs;
    for (const auto &node : m_nodes)
        node->log.nowMs = m_nowMs;
    injectFaults();
    while (!m_events.empty() && m_events.begin()->first <= m_nowMs) {
        const Action action = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        action();
    }
    for (const auto &worker : m_workers) {
        if (!worker->isUp())
            continue;
        for (const EndedEntry &end : worker->advance(m_nowMs)) {
            m_nodes.front()->log.note(end.task.text(), "ENDS", endKindText(end.kind));
            TaskHistory &history = m_history[end.task];
            history.isDone |= end.kind == EndKind::Done;
            if (end.kind == EndKind::Failed)
                history.failedAtMs[end.run] = m_nowMs;
            if (end.kind == EndKind::Done)
                history.doneAtMs[end.run] = m_nowMs;
        }
        for (const EndedEntry &end : worker->takeAcknowledged())
            noteAcknowledged(end);
    }
    for (std::size_t i = 0; i < nodeCount; ++i)
        runOwner(i);
    checkRuns();
    checkLongRunningTasks();
}

void JobWorld::run(std::int64_t duration)
{
    const std::int64_t end = m_nowMs + duration;
    while (m_nowMs < end && m_violation.empty())
        step();
}

void JobWorld::stopFaults()
{
    m_faults = {};
    for (std::size_t i = 0; i < m_workers.size(); ++i)
        restartWorker(i);
    for (const auto &node : m_nodes) {
        node->storePartitionedUntilMs = 0;
        node->frozenUntilMs = 0;
        node->workerPartitionedUntilMs.clear();
    }
}

JobState JobWorld::state(const JobId &id) const
{
    return m_table.find(id)->state();
}

bool JobWorld::areAllOver() const
{
    return std::all_of(m_table.jobs().begin(), m_table.jobs().end(), [](const auto &job) {
        return job.second.progress && job.second.progress->isFinal();
    });
}

int JobWorld::startsOf(const TaskName &task) const
{
    const auto found = m_history.find(task);
    return found == m_history.end() ? 0 : static_cast<int>(found->second.startedAtMs.size());
}

int JobWorld::crashesOf(const TaskName &task) const
{
    const auto found = m_history.find(task);
    return found == m_history.end() ? 0 : found->second.crashes;
}

std::int64_t JobWorld::firstStartOf(const TaskName &task) const
{
    const auto found = m_history.find(task);
    return found == m_history.end() || found->second.startedAtMs.empty()
        ? -1
        : found->second.startedAtMs.front();
}

std::size_t JobWorld::waitingCount() const
{
    const auto owner = std::find_if(m_nodes.begin(), m_nodes.end(),
                                    [](const auto &node) { return node->scheduler != nullptr; });
    return (*owner)->scheduler->waitingCount();
}

std::size_t JobWorld::runningCount() const
{
    std::size_t count = 0;
    for (const auto &worker : m_workers)
        count += worker->isUp() ? worker->running().size() : 0;
    return count;
}
