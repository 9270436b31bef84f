#include "JobWorld.h"

#include "JobWorldParts.h"

#include <algorithm>
#include <utility>

using namespace Jobs;
using std::chrono::milliseconds;

namespace {

constexpr std::int64_t commitMs = 5;

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

void JobWorld::setCustomers(const std::vector<Customer> &customers)
{
    m_catalogue.customers = customers;
    for (const auto &node : m_nodes) {
        if (node->scheduler)
            node->scheduler->setCatalogue(m_catalogue);
    }
}

JobId JobWorld::submit(const JobSpec &spec, int attemptLimit, const Core::CustomerId &customer)
{
    Submission submission;
    submission.id = JobId("job" + std::to_string(m_submitted++));
    submission.queue.id = QueueId("queue");
    submission.queue.service = ServiceId("service");
    submission.queue.attemptLimit = attemptLimit;
    submission.queue.stretch = m_stretch;
    submission.spec = spec;
    submission.customer = customer;
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
    node.scheduler->setCatalogue(m_catalogue);
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
    for (JobRecord record : pending.commit.records) {
        checkRecords(record);
        if (m_disabledGuard == DisabledGuard::RemainingUse) {
            if (auto *progress = std::get_if<ProgressRecord>(&record))
                progress->remainingUse = {};
            if (auto *ended = std::get_if<EndedJob>(&record))
                ended->remainingUse = {};
        }
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

void JobWorld::deliverList(Node &node)
{
    if (node.listVersion == m_listVersion || node.storePartitionedUntilMs > m_nowMs)
        return;
    node.listVersion = m_listVersion;
    node.scheduler->setWorkers(listedWorkers(), now(node));
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
