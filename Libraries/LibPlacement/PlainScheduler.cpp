#include <LibPlacement/PlainScheduler.h>

#include <algorithm>
#include <utility>

namespace Placement {

namespace {

bool isLargerThanAny(const WaitingTask &task, const std::vector<Core::Resources> &misfits)
{
    return std::any_of(misfits.begin(), misfits.end(), [&](const Core::Resources &misfit) {
        return misfit.fitsIn(task.spec.declared);
    });
}

} // namespace

PlainScheduler::PlainScheduler(Core::FailureDomainId failureDomain)
    : m_failureDomain(std::move(failureDomain))
{
}

void PlainScheduler::setRules(const Rules::RuleSet &rules)
{
    m_rules = rules;
}

void PlainScheduler::setWorkers(const std::vector<Platform::VmEntry> &workers)
{
    m_isOffered.assign(m_workers.size(), false);
    for (const Platform::VmEntry &entry : workers) {
        if (entry.kind != Platform::VmKind::Worker)
            continue;
        const WorkerSlot worker = slotOf(entry.id);
        m_workers[worker] = entry;
        m_ledger.setCapacity(worker, entry.capacity);
        m_isOffered[worker] = entry.state == Platform::VmState::Live;
    }
}

void PlainScheduler::addWaiting(const WaitingTask &task)
{
    m_waiting.push_back(task);
}

void PlainScheduler::removeWaiting(const Core::TaskId &task)
{
    std::erase_if(m_waiting, [&](const WaitingTask &other) { return other.spec.id == task; });
}

void PlainScheduler::adopt(const PlacedAttempt &attempt)
{
    const WorkerSlot worker = slotOf(attempt.worker);
    if (m_ledger.adopt(attempt.attempt, worker, attempt.spec.declared))
        m_placed[attempt.attempt] = { { attempt.spec, attempt.startedAt, 0 }, worker };
}

void PlainScheduler::attemptStarted(const PlacedAttempt &attempt)
{
    auto pending = m_placed.extract(Task::AttemptId { attempt.spec.id, 0 });
    if (pending.empty()) {
        adopt(attempt);
        return;
    }
    m_ledger.rename(pending.key(), attempt.attempt);
    pending.key() = attempt.attempt;
    m_placed.insert(std::move(pending));
}

void PlainScheduler::startAbandoned(const Core::TaskId &task)
{
    const auto pending = m_placed.extract(Task::AttemptId { task, 0 });
    if (pending.empty())
        return;
    m_ledger.release(pending.key());
    m_waiting.push_front(pending.mapped().task);
}

void PlainScheduler::attemptEnded(const Task::AttemptId &attempt, Task::AttemptPhase /*phase*/,
                                  Core::Instant /*now*/)
{
    m_ledger.release(attempt);
    m_placed.erase(attempt);
}

void PlainScheduler::observe(const Task::AttemptReport & /*report*/, Core::Instant /*now*/) { }

std::vector<Decision> PlainScheduler::decide(Core::Instant now, std::size_t maximumStarts)
{
    std::vector<Decision> decisions = decideFirst(now);
    if (m_rules.isOut(m_failureDomain))
        return decisions;
    std::deque<WaitingTask> stillWaiting;
    std::vector<Core::Resources> misfits;
    std::size_t starts = 0;
    for (const WaitingTask &task : std::exchange(m_waiting, {})) {
        const bool isTried = starts < maximumStarts && !isLargerThanAny(task, misfits);
        if (isTried && tryStart(task, decisions)) {
            ++starts;
            continue;
        }
        if (isTried)
            misfits.push_back(task.spec.declared);
        stillWaiting.push_back(task);
    }
    m_waiting = std::move(stillWaiting);
    return decisions;
}

std::string PlainScheduler::reasonNeverFits(const Task::TaskSpec &spec) const
{
    std::string reason;
    for (const Platform::VmEntry &worker : m_workers) {
        const std::string dimension = spec.declared.firstDimensionAbove(worker.capacity);
        if (dimension.empty())
            return {};
        reason = "no worker has enough " + dimension;
    }
    return reason;
}

std::string PlainScheduler::explain(const Core::TaskId &task) const
{
    const auto isTask = [&](const WaitingTask &other) { return other.spec.id == task; };
    if (std::any_of(m_waiting.begin(), m_waiting.end(), isTask))
        return "waits: no worker has room";
    return "doesn't wait";
}

bool PlainScheduler::isLatencyCritical(const Core::TaskClassId &taskClass) const
{
    const auto rule = m_rules.classes.find(taskClass);
    return rule != m_rules.classes.end() && rule->second.kind == Rules::TaskKind::LatencyCritical;
}

std::vector<Decision> PlainScheduler::decideFirst(Core::Instant /*now*/)
{
    return {};
}

WorkerSlot PlainScheduler::slotOf(const Core::VmId &worker)
{
    const auto [position, isNew] = m_slots.try_emplace(worker, m_workers.size());
    if (isNew) {
        m_workers.emplace_back().id = worker;
        m_isOffered.push_back(false);
        m_ledger.setCapacity(position->second, {});
    }
    return position->second;
}

bool PlainScheduler::tryStart(const WaitingTask &task, std::vector<Decision> &decisions)
{
    if (!m_rules.mayRunIn(task.spec.taskClass, m_failureDomain))
        return false;
    const Task::AttemptId pending { task.spec.id, 0 };
    for (WorkerSlot worker = 0; worker < m_workers.size(); ++worker) {
        if (!m_isOffered[worker] || !m_ledger.reserve(pending, worker, task.spec.declared))
            continue;
        m_placed[pending] = { task, worker };
        decisions.emplace_back(
            StartDecision { task.spec.id, m_workers[worker].id, "the first worker with room" });
        return true;
    }
    return false;
}

} // namespace Placement
