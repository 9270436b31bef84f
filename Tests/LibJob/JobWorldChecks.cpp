#include "JobWorld.h"

#include "JobWorldParts.h"

#include <algorithm>
#include <optional>

using namespace Jobs;

namespace {

/// A capacity that has shrunk binds the starts after this time.
constexpr std::int64_t capacityGraceMs = 3000 + publicationIntervalMs;

} // namespace

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

void JobWorld::checkLimit(const TaskName &started)
{
    constexpr std::int64_t percentAllowed = 110;
    const Core::CustomerId &customer = m_submissions.at(started.job).customer;
    if (customer.isEmpty() || !m_catalogue.customers)
        return;
    const auto found
        = std::find_if(m_catalogue.customers->begin(), m_catalogue.customers->end(),
                       [&customer](const Customer &other) { return other.id == customer; });
    if (found == m_catalogue.customers->end() || found->limit.milliCores == 0)
        return;
    std::int64_t requested = 0;
    for (const auto &worker : m_workers) {
        if (!worker->isUp())
            continue;
        for (const auto &[task, run] : worker->running())
            requested += m_submissions.at(task.job).customer == customer ? needOf(task) : 0;
    }
    if (100 * (requested - needOf(started)) > percentAllowed * found->limit.milliCores)
        fail("a start exceeds the limit of " + customer.text() + ": " + started.text() + " with "
             + std::to_string(requested) + " of " + std::to_string(found->limit.milliCores));
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
